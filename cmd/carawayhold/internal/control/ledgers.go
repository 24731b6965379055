package control

import (
	"strings"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const ledgerPrefix = "ejection/"

// ledgerState holds this proxy's copies of all ejection ledgers. It is safe
// for concurrent use.
type ledgerState struct {
	mu    sync.Mutex
	views map[string]*ejection.View
	// malformed holds values that cannot be decoded. They are forwarded, so
	// that the other proxies drop their older copies as well.
	malformed    map[string]ledgerCopy
	storeVersion int64
	// confirmedAt is when the platform read was sent that shows all copies as
	// current.
	confirmedAt time.Time
}

func newLedgerState() *ledgerState {
	return &ledgerState{views: map[string]*ejection.View{}, malformed: map[string]ledgerCopy{}}
}

// ledgerUpdate holds the ledgers that changed since an earlier store version,
// read from the platform or from a peer.
type ledgerUpdate struct {
	ledgers      []ledgerCopy
	storeVersion int64
	readSentAt   time.Time // latest time at which the platform read can have been sent
	receivedAt   time.Time
}

func newLedgerUpdate(listing platform.Listing, sentAt, receivedAt time.Time) ledgerUpdate {
	r := ledgerUpdate{storeVersion: listing.StoreVersion, readSentAt: sentAt, receivedAt: receivedAt}
	for _, o := range listing.Objects {
		service := strings.TrimPrefix(o.Name, ledgerPrefix)
		r.ledgers = append(r.ledgers, ledgerCopy{Service: service, Version: o.Version, Value: o.Value})
	}
	return r
}

// apply applies an update unless it is older than the one held. It reports
// whether a ledger changed, and returns the services whose ledger cannot be
// decoded. The copies of these are dropped, so that they eject no endpoint.
func (s *ledgerState) apply(r ledgerUpdate) (changed bool, malformed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.storeVersion < s.storeVersion {
		return false, nil
	}
	s.storeVersion = r.storeVersion
	if r.readSentAt.After(s.confirmedAt) {
		s.confirmedAt = r.readSentAt
	}
	for _, l := range r.ledgers {
		changed = true
		if err := s.observeCopy(l, r); err != nil {
			delete(s.views, l.Service)
			s.malformed[l.Service] = l
			malformed = append(malformed, l.Service)
			continue
		}
		delete(s.malformed, l.Service)
	}
	// Ledgers that are missing from the update did not change, so their copies are
	// current.
	for _, v := range s.views {
		v.Confirm(r.readSentAt)
	}
	return changed, malformed
}

func (s *ledgerState) observeCopy(l ledgerCopy, r ledgerUpdate) error {
	return s.view(l.Service).ObserveValue(l.Value, l.Version, r.readSentAt, r.readSentAt, r.receivedAt)
}

func (s *ledgerState) view(service string) *ejection.View {
	v, ok := s.views[service]
	if !ok {
		v = ejection.NewView(service)
		s.views[service] = v
	}
	return v
}

// observePlatform stores a ledger that this proxy read from the platform or
// wrote there.
func (s *ledgerState) observePlatform(service string, l ejection.Ledger, version int64, sentAt, receivedAt time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view(service).ObservePlatform(l, version, sentAt, receivedAt)
}

// with runs work with the view of a service while the state is locked.
func (s *ledgerState) with(service string, work func(*ejection.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work(s.view(service))
}

// withEntries returns the services whose ledger has entries.
func (s *ledgerState) withEntries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var services []string
	for service, v := range s.views {
		if v.Entries() > 0 {
			services = append(services, service)
		}
	}
	return services
}

// version returns the store version of the last update.
func (s *ledgerState) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeVersion
}

// newerThan returns the copies newer than a store version, and the age of the
// platform read that shows all copies as current. held is false before the
// first read.
func (s *ledgerState) newerThan(storeVersion int64, now time.Time) (copies []ledgerCopy, age time.Duration, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return nil, 0, false
	}
	for service, v := range s.views {
		ledger, version := v.Ledger()
		if version <= storeVersion {
			continue
		}
		value, err := ledger.Encode()
		if err != nil {
			continue
		}
		copies = append(copies, ledgerCopy{Service: service, Version: version, Value: value})
	}
	for _, l := range s.malformed {
		if l.Version > storeVersion {
			copies = append(copies, l)
		}
	}
	return copies, now.Sub(s.confirmedAt), true
}

func (s *ledgerState) violations() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total uint64
	for _, v := range s.views {
		total += v.Violations()
	}
	return total
}
