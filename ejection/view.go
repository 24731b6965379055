package ejection

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Validity is how long a copy counts after its read was sent. With a refresh
	// every 5 s, three refreshes can be lost before it expires.
	Validity = 30 * time.Second
	// holdPercent lengthens the hold of a returning entry over Validity. It
	// covers clocks that differ in rate by up to 2% in each direction, which
	// needs a ratio of 1.02/0.98 = 1.041.
	holdPercent = 105
	// RemoveHold is how long a proxy must have held a returning entry, on its
	// own clock, before it may remove it.
	RemoveHold = Validity * holdPercent / 100
)

// ErrInvalidCopy means that a copy has times that cannot be right.
var ErrInvalidCopy = eris.New("ejection: invalid copy")

// PeerCopy is a ledger copy that one proxy gives to another.
type PeerCopy struct {
	Version int64 `msgpack:"version" json:"version"`
	// AgeMillis is the age in milliseconds since the read from the platform was
	// sent, rounded up.
	AgeMillis int64  `msgpack:"ageMillis" json:"ageMillis"`
	Value     []byte `msgpack:"value" json:"value"`
}

// returnEpisode identifies one return of one endpoint.
type returnEpisode struct {
	endpoint  string
	operation string
}

// View is one proxy's copy of a service's ledger. It is not safe for concurrent
// use.
type View struct {
	ledger     Ledger
	version    int64
	held       bool
	origin     time.Time
	returning  map[returnEpisode]time.Time
	violations uint64
}

// NewView returns a view that holds no copy: it treats no endpoint as ejected.
func NewView(service string) *View {
	return &View{ledger: Ledger{Service: service}, returning: make(map[returnEpisode]time.Time)}
}

// ObservePlatform takes the result of a platform read, or the value of an own
// write that succeeded, with the moments at which the request was sent and its
// response arrived. Older versions than the one held are ignored. The error is
// ErrInvalidCopy.
func (v *View) ObservePlatform(l Ledger, version int64, sentAt, receivedAt time.Time) error {
	return v.observe(l, version, sentAt, sentAt, receivedAt)
}

// ObservePeer takes a copy from a peer with the moments at which the request to
// the peer was sent and its response arrived. The errors are ErrInvalidCopy and
// ErrInvalidLedger.
func (v *View) ObservePeer(c PeerCopy, sentAt, receivedAt time.Time) error {
	if c.AgeMillis < 0 {
		return eris.Wrapf(ErrInvalidCopy, "ageMillis is %d, must not be negative", c.AgeMillis)
	}
	if c.AgeMillis >= Validity.Milliseconds() {
		return eris.Wrapf(ErrInvalidCopy, "ageMillis is %d, must be below %d", c.AgeMillis, Validity.Milliseconds())
	}
	age := time.Duration(c.AgeMillis) * time.Millisecond
	return v.ObserveValue(c.Value, c.Version, sentAt.Add(-age), sentAt, receivedAt)
}

// ObserveValue takes an encoded ledger that was current at origin, with the moments
// at which the request for it was sent and its response arrived. The errors are
// ErrInvalidCopy and ErrInvalidLedger.
func (v *View) ObserveValue(value []byte, version int64, origin, sentAt, receivedAt time.Time) error {
	l, err := Decode(v.ledger.Service, value)
	if err != nil {
		return err
	}
	return v.observe(l, version, origin, sentAt, receivedAt)
}

// Confirm renews the validity of the held copy: a read that was sent at origin
// showed that no newer version existed. It does nothing if no copy is held.
func (v *View) Confirm(origin time.Time) {
	if v.held && origin.After(v.origin) {
		v.origin = origin
	}
}

// PeerCopy returns the copy to give to a peer, and false if none is valid.
func (v *View) PeerCopy(now time.Time) (PeerCopy, bool) {
	age := now.Sub(v.origin) + time.Millisecond - time.Nanosecond // rounds up
	if !v.held || age >= Validity {
		return PeerCopy{}, false
	}
	value, err := v.ledger.Encode()
	if err != nil {
		return PeerCopy{}, false
	}
	return PeerCopy{Version: v.version, AgeMillis: age.Milliseconds(), Value: value}, true
}

// Valid reports whether the view holds a copy that has not expired.
func (v *View) Valid(now time.Time) bool {
	return v.held && !Lapsed(now, v.ValidUntil())
}

// Lapsed reports whether a moment has passed by the monotonic clock or by the
// wall clock. The monotonic clock stands still while a whole VM is suspended,
// and the wall clock may be set back, but either alone makes a copy unusable.
func Lapsed(now, until time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// ValidUntil returns the moment at which the held copy expires.
func (v *View) ValidUntil() time.Time {
	return v.origin.Add(Validity)
}

// Ejected reports whether this proxy must treat the endpoint as ejected.
func (v *View) Ejected(endpoint string, now time.Time) bool {
	if !v.Valid(now) {
		return false
	}
	e, ok := v.ledger.Entry(endpoint)
	return ok && e.State == StateEjected
}

// EjectedWithin returns the endpoints to keep out of selection until
// ValidUntil. If the pool's own floor or leaving endpoints are newer than the
// ledger, it keeps only the strongest evidence within the floor, so that a
// raised floor takes effect here before the ledger is restored.
func (v *View) EjectedWithin(p Pool, now time.Time) []string {
	if !v.Valid(now) {
		return nil
	}
	d := NewDraft(v.ledger, p, "", "", now)
	d.Restore()
	var ejected []string
	for _, e := range d.ledger.Entries {
		if e.State == StateEjected && p.endpoints[e.Endpoint] {
			ejected = append(ejected, e.Endpoint)
		}
	}
	return ejected
}

// Ledger returns the newest copy, valid or not, and its version. A draft may
// start from it: the conditional update fails if it is not current.
func (v *View) Ledger() (Ledger, int64) {
	return v.ledger.clone(), v.version
}

// Removable returns the endpoints whose returning entry this proxy has held
// long enough to remove it.
func (v *View) Removable(now time.Time) []string {
	var endpoints []string
	for _, e := range v.ledger.Entries {
		if e.State == StateReturning && v.heldLongEnough(e, now) {
			endpoints = append(endpoints, e.Endpoint)
		}
	}
	return endpoints
}

// Check asserts that the held ledger keeps the floor of the configuration it
// was written under. It counts the violation and returns ErrFloorViolated.
func (v *View) Check(p Pool) error {
	if !v.held || v.ledger.ConfigRevision != p.revision {
		return nil
	}
	ejected := 0
	for _, e := range v.ledger.Entries {
		if e.State == StateEjected && p.endpoints[e.Endpoint] {
			ejected++
		}
	}
	if ejected == 0 || len(p.endpoints)-ejected >= p.floor {
		return nil
	}
	v.violations++
	return eris.Wrapf(ErrFloorViolated, "%s: version %d ejects %d of %d, floor is %d",
		v.ledger.Service, v.version, ejected, len(p.endpoints), p.floor)
}

// Violations returns the number of floor violations that Check has found.
func (v *View) Violations() uint64 { return v.violations }

func (v *View) observe(l Ledger, version int64, origin, sentAt, receivedAt time.Time) error {
	if receivedAt.Before(sentAt) {
		return eris.Wrap(ErrInvalidCopy, "response arrived before the request was sent")
	}
	if v.held && version < v.version {
		return nil
	}
	if v.held && version == v.version {
		v.Confirm(origin)
		return nil
	}
	v.ledger = l.clone()
	v.version = version
	v.origin = origin
	v.held = true
	v.noteReturning(receivedAt)
	return nil
}

// noteReturning starts the hold of entries that are newly returning and forgets
// those that are gone.
func (v *View) noteReturning(receivedAt time.Time) {
	current := make(map[returnEpisode]time.Time)
	for _, e := range v.ledger.Entries {
		if e.State != StateReturning {
			continue
		}
		key := returnEpisode{endpoint: e.Endpoint, operation: e.Operation}
		current[key] = receivedAt
		if since, ok := v.returning[key]; ok {
			current[key] = since
		}
	}
	v.returning = current
}

func (v *View) heldLongEnough(e Entry, now time.Time) bool {
	since, ok := v.returning[returnEpisode{endpoint: e.Endpoint, operation: e.Operation}]
	return ok && now.Sub(since) >= RemoveHold
}

// Entries returns the number of entries of the newest copy.
func (v *View) Entries() int { return len(v.ledger.Entries) }

// Endpoints returns the endpoints of the newest copy in the given state.
func (v *View) Endpoints(s State) []string {
	var endpoints []string
	for _, e := range v.ledger.Entries {
		if e.State == s {
			endpoints = append(endpoints, e.Endpoint)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}
