package control

import (
	"strings"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const ledgerPrefix = "ejection/"

// ledgerState holds the copies of all ejection ledgers.
type ledgerState struct {
	mu    sync.Mutex
	views map[string]*ejection.View
	// broken holds values that are not ledgers. They are passed on, so that the
	// other proxies drop their older copies as well.
	broken       map[string]ledgerCopy
	storeVersion int64
	// origin is when the platform read was sent that shows all copies as current.
	origin time.Time
}

func newLedgerState() *ledgerState {
	return &ledgerState{views: map[string]*ejection.View{}, broken: map[string]ledgerCopy{}}
}

// reading is the result of a read of all ledgers, from the platform or a peer.
type reading struct {
	ledgers      []ledgerCopy
	storeVersion int64
	origin       time.Time // when the platform read was sent, at the latest
	receivedAt   time.Time
}

func listingOf(listing platform.Listing, sentAt, receivedAt time.Time) reading {
	r := reading{storeVersion: listing.StoreVersion, origin: sentAt, receivedAt: receivedAt}
	for _, o := range listing.Objects {
		service := strings.TrimPrefix(o.Name, ledgerPrefix)
		r.ledgers = append(r.ledgers, ledgerCopy{Service: service, Version: o.Version, Value: o.Value})
	}
	return r
}

// take applies a reading and reports whether a ledger changed. A reading older
// than the one held is ignored. The names of ledgers that cannot be read are
// returned; their copies are dropped, so that nothing counts as ejected by them.
func (s *ledgerState) take(r reading) (changed bool, unreadable []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.storeVersion < s.storeVersion {
		return false, nil
	}
	s.storeVersion = r.storeVersion
	if r.origin.After(s.origin) {
		s.origin = r.origin
	}
	for _, l := range r.ledgers {
		changed = true
		if err := s.observe(l, r); err != nil {
			delete(s.views, l.Service)
			s.broken[l.Service] = l
			unreadable = append(unreadable, l.Service)
			continue
		}
		delete(s.broken, l.Service)
	}
	// What the reading does not show as changed, it shows as current.
	for _, v := range s.views {
		v.Confirm(r.origin)
	}
	return changed, unreadable
}

func (s *ledgerState) observe(l ledgerCopy, r reading) error {
	return s.view(l.Service).ObserveValue(l.Value, l.Version, r.origin, r.origin, r.receivedAt)
}

func (s *ledgerState) view(service string) *ejection.View {
	v, ok := s.views[service]
	if !ok {
		v = ejection.NewView(service)
		s.views[service] = v
	}
	return v
}

// wrote takes the value of an own write that succeeded.
func (s *ledgerState) wrote(service string, l ejection.Ledger, version int64, sentAt, receivedAt time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view(service).ObservePlatform(l, version, sentAt, receivedAt)
}

// with runs work with the view of a service.
func (s *ledgerState) with(service string, work func(*ejection.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work(s.view(service))
}

// listed returns the services whose ledger has entries.
func (s *ledgerState) listed() []string {
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

// version returns the store version of the last reading.
func (s *ledgerState) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeVersion
}

// since returns the copies that are newer than a store version, and the age of
// the reading that shows them all as current.
func (s *ledgerState) since(storeVersion int64, now time.Time) (copies []ledgerCopy, age time.Duration, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origin.IsZero() {
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
	for _, l := range s.broken {
		if l.Version > storeVersion {
			copies = append(copies, l)
		}
	}
	return copies, now.Sub(s.origin), true
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
