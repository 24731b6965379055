package control

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/rollout"
)

// configState holds the active configuration and what is known about newer
// ones. It is safe for concurrent use.
type configState struct {
	logger *zap.Logger
	holder *rollout.Holder

	mu        sync.Mutex
	freshness rollout.Freshness
	announced int64 // greatest head revision known to exist
	accepted  int64 // greatest head revision that this proxy wrote itself
	services  map[string]config.Service
	// documents maps service names to the documents that services was decoded
	// from.
	documents map[string]rollout.DocumentRef
}

func newConfigState(logger *zap.Logger) *configState {
	s := &configState{logger: logger, services: map[string]config.Service{}, documents: map[string]rollout.DocumentRef{}}
	s.holder = rollout.NewHolder(rollout.WithViolationHook(func(name, detail string) {
		logger.Error("operator: invariant violated", zap.String("invariant", name), zap.String("detail", detail))
	}))
	return s
}

func (s *configState) revision() int64 { return s.holder.Revision() }

func (s *configState) observeRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = max(s.announced, revision)
}

func (s *configState) accept(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = max(s.announced, revision)
	s.accepted = max(s.accepted, revision)
}

// lacksAccepted reports whether a revision that this proxy wrote is not
// active here yet.
func (s *configState) lacksAccepted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted > s.holder.Revision()
}

func (s *configState) known() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.announced, s.holder.Revision())
}

func (s *configState) ready(now time.Time) rollout.Readiness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Ready(now, s.holder.Revision())
}

func (s *configState) confirmedAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, age, ok := s.freshness.Confirmation(now)
	return age, ok
}

func (s *configState) confirmByPlatform(sentAt time.Time, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = max(s.announced, revision)
	s.freshness.ConfirmByPlatform(sentAt, revision)
}

func (s *configState) confirmByPeer(sentAt time.Time, age time.Duration, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = max(s.announced, revision)
	s.freshness.ConfirmByPeer(sentAt, age, revision)
}

func (s *configState) observeMajority(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.ObserveMembers(now, 1, 1)
}

// list returns the active services, sorted by name.
func (s *configState) list() []config.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make([]config.Service, 0, len(s.services))
	for _, service := range s.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b config.Service) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return services
}

func (s *configState) service(name string) (config.Service, rollout.DocumentRef, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, ok := s.services[name]
	return service, s.documents[name], ok
}

// decoded is a configuration whose documents have been decoded.
type decoded struct {
	change    ConfigurationChange
	services  map[string]config.Service
	documents map[string]rollout.DocumentRef
}

// decode decodes the documents of a candidate that differ from the active
// ones.
func (s *configState) decode(candidate *rollout.Candidate) (decoded, error) {
	head := candidate.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := decoded{
		change:    ConfigurationChange{Revision: head.Revision},
		services:  make(map[string]config.Service, len(head.Index)),
		documents: head.Index,
	}
	for name, ref := range head.Index {
		if known, ok := s.services[name]; ok && s.documents[name] == ref {
			d.services[name] = known
			continue
		}
		service, err := decodeDocument(candidate, ref)
		if err != nil {
			return d, err
		}
		d.services[name] = service
		d.change.Changed = append(d.change.Changed, service)
	}
	for name := range s.services {
		if _, kept := d.services[name]; !kept {
			d.change.Removed = append(d.change.Removed, name)
		}
	}
	return d, nil
}

func decodeDocument(candidate *rollout.Candidate, ref rollout.DocumentRef) (config.Service, error) {
	value, ok := candidate.Document(ref.Name)
	if !ok {
		return config.Service{}, eris.Wrapf(rollout.ErrIncomplete, "document %s", ref.Name)
	}
	service, err := config.DecodeStored(value, ref.Digest)
	return service, eris.Wrapf(err, "operator: document %s", ref.Name)
}

func (s *configState) set(d decoded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services = d.services
	s.documents = d.documents
}
