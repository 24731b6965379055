package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

const (
	fetchTimeout = 2 * time.Second
	// fetchBytes bounds the documents of one reply; a frame has at most 1 MiB.
	fetchBytes = 900 << 10
)

// configState holds the configuration in force and what is known about newer ones.
type configState struct {
	logger *zap.Logger
	holder *rollout.Holder

	mu        sync.Mutex
	freshness rollout.Freshness
	heard     int64 // greatest head revision heard of
	services  map[string]config.Service
	// documents maps services to the names of the documents that services holds.
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

func (s *configState) hear(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = max(s.heard, revision)
}

func (s *configState) known() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.heard, s.holder.Revision())
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
	s.heard = max(s.heard, revision)
	s.freshness.ConfirmByPlatform(sentAt, revision)
}

func (s *configState) confirmByPeer(sentAt time.Time, age time.Duration, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = max(s.heard, revision)
	s.freshness.ConfirmByPeer(sentAt, age, revision)
}

func (s *configState) observeMajority(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.ObserveMembers(now, 1, 1)
}

// list returns the services in force in the order of their names.
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

// decode reads the documents that are new since the last call and returns what
// changed.
func (s *configState) decode() (Change, error) {
	head := s.holder.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make(map[string]config.Service, len(head.Index))
	change := Change{Revision: head.Revision}
	for name, ref := range head.Index {
		if known, ok := s.services[name]; ok && s.documents[name] == ref {
			services[name] = known
			continue
		}
		service, err := s.decodeDocument(ref)
		if err != nil {
			return change, err
		}
		services[name] = service
		change.Changed = append(change.Changed, service)
	}
	for name := range s.services {
		if _, kept := services[name]; !kept {
			change.Removed = append(change.Removed, name)
		}
	}
	s.services = services
	s.documents = head.Index
	return change, nil
}

func (s *configState) decodeDocument(ref rollout.DocumentRef) (config.Service, error) {
	value, ok := s.holder.DocumentByName(ref.Name)
	if !ok {
		return config.Service{}, eris.Errorf("operator: document %s is missing", ref.Name)
	}
	service, err := config.DecodeStored(value, config.Digest(value))
	return service, eris.Wrapf(err, "operator: document %s", ref.Name)
}

// applyCandidate puts a complete candidate in force.
func (c *Control) applyCandidate(candidate *rollout.Candidate) error {
	err := c.config.holder.Apply(candidate)
	if errors.Is(err, rollout.ErrOlder) {
		return nil
	}
	if err != nil {
		return err
	}
	change, err := c.config.decode()
	if err != nil {
		return err
	}
	c.datapath.Apply(change)
	c.members.setRevision(change.Revision)
	c.evaluators.apply(change)
	c.refreshAvailability()
	c.notifyClients()
	return nil
}

// applyFromPlatform reads the documents of a head from the platform and applies it.
func (c *Control) applyFromPlatform(ctx context.Context, value []byte) error {
	head, err := rollout.DecodeHead(value)
	if err != nil {
		return err
	}
	candidate, err := c.config.holder.Stage(head)
	if errors.Is(err, rollout.ErrOlder) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, ref := range candidate.Missing() {
		object, err := c.platform.Get(ctx, ref.Name)
		if err != nil {
			return err
		}
		if err := candidate.Supply(ref.Name, object.Value); err != nil {
			return err
		}
	}
	return c.applyCandidate(candidate)
}

// applyFromPeer fetches what a member holds beyond the held revision.
func (c *Control) applyFromPeer(ctx context.Context, member membership.Member) error {
	reply, err := c.fetch(ctx, member, fetchCall{Base: c.config.revision()})
	if err != nil {
		return err
	}
	if reply.Delta == nil {
		return nil
	}
	candidate, err := c.config.holder.StageDelta(*reply.Delta)
	if errors.Is(err, rollout.ErrDelta) {
		if reply, err = c.fetch(ctx, member, fetchCall{}); err != nil || reply.Delta == nil {
			return err
		}
		candidate, err = c.config.holder.StageDelta(*reply.Delta)
	}
	if errors.Is(err, rollout.ErrOlder) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := c.fetchDocuments(ctx, member, candidate); err != nil {
		return err
	}
	return c.applyCandidate(candidate)
}

func (c *Control) fetchDocuments(ctx context.Context, member membership.Member, candidate *rollout.Candidate) error {
	for missing := candidate.Missing(); len(missing) > 0; missing = candidate.Missing() {
		var names []string
		for _, ref := range missing {
			names = append(names, ref.Name)
		}
		reply, err := c.fetch(ctx, member, fetchCall{Names: names})
		if err != nil {
			return err
		}
		if len(reply.Documents) == 0 {
			return eris.Wrapf(rollout.ErrIncomplete, "%s holds none of %d documents", member.Name(), len(names))
		}
		for name, value := range reply.Documents {
			if err := candidate.Supply(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Control) fetch(ctx context.Context, member membership.Member, call fetchCall) (fetchReply, error) {
	var reply fetchReply
	err := c.request(ctx, member, peer.TopicConfigFetch, call, &reply)
	return reply, err
}

// request sends one request with the common timeout.
func (c *Control) request(ctx context.Context, member membership.Member, topic string, call, reply any) error {
	payload, err := peer.Encode(call)
	if err != nil {
		return eris.Wrap(err, "control: cannot encode a request")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := c.transport.Request(ctx, member.Address(), member.Incarnation().String(), topic, payload)
	if err != nil {
		return err
	}
	return eris.Wrap(msgpack.Unmarshal(answer, reply), "control: malformed reply")
}

// answerFetch serves config.fetch.
func (c *Control) answerFetch(_ context.Context, request peer.Request) ([]byte, error) {
	var call fetchCall
	if err := msgpack.Unmarshal(request.Payload(), &call); err != nil {
		return nil, eris.Wrap(err, "control: malformed request")
	}
	var reply fetchReply
	if len(call.Names) > 0 {
		reply.Documents = c.documents(call.Names)
		return peer.Encode(reply)
	}
	if c.config.revision() > call.Base {
		delta := c.config.holder.Since(call.Base)
		reply.Delta = &delta
	}
	return peer.Encode(reply)
}

func (c *Control) documents(names []string) map[string][]byte {
	documents := map[string][]byte{}
	total := 0
	for _, name := range names {
		value, ok := c.config.holder.DocumentByName(name)
		if !ok {
			continue
		}
		total += len(name) + len(value)
		if total > fetchBytes && len(documents) > 0 {
			break
		}
		documents[name] = value
	}
	return documents
}

// readHead reads the head from the platform and applies it.
func (c *Control) readHead(ctx context.Context) error {
	sentAt := time.Now()
	object, err := c.platform.Get(ctx, rollout.HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		c.headConfirmed(sentAt, 0)
		return nil
	}
	if err != nil {
		return err
	}
	return c.takeHead(ctx, object.Value, sentAt)
}

func (c *Control) takeHead(ctx context.Context, value []byte, sentAt time.Time) error {
	head, err := rollout.DecodeHead(value)
	if err != nil {
		return err
	}
	c.headConfirmed(sentAt, head.Revision)
	return c.applyFromPlatform(ctx, value)
}

// headConfirmed records that the platform showed a head revision.
func (c *Control) headConfirmed(sentAt time.Time, revision int64) {
	c.config.confirmByPlatform(sentAt, revision)
	c.members.setConfirmed(sentAt)
}
