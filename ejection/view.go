package ejection

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Validity is how long a copy is valid after its read was sent. With a
	// refresh every 5 s, three refreshes can fail before it expires.
	Validity = 30 * time.Second
	// holdPercent is RemoveHold as a percentage of Validity. It covers clock
	// rates that are wrong by up to 2% in either direction, which needs a ratio
	// of at least 1.02/0.98 = 1.041.
	holdPercent = 105
	// RemoveHold is how long a proxy must have held a returning entry, on its
	// own clock, before it may remove the entry.
	RemoveHold = Validity * holdPercent / 100
)

// ErrInvalidCopy means that a copy has expired, has a negative age, or arrived
// before it was requested.
var ErrInvalidCopy = eris.New("ejection: invalid copy")

// PeerCopy is a copy of a ledger that one proxy sends to another.
type PeerCopy struct {
	Version int64 `msgpack:"version" json:"version"`
	// AgeMillis is the time in milliseconds since the read from the platform was
	// sent, rounded up.
	AgeMillis int64  `msgpack:"ageMillis" json:"ageMillis"`
	Value     []byte `msgpack:"value" json:"value"`
}

// returnID identifies one return of an endpoint by the operation that started it.
type returnID struct {
	endpoint  string
	operation string
}

// View is one proxy's copy of a service's ledger. It is not safe for concurrent
// use.
type View struct {
	ledger  Ledger
	version int64
	hasCopy bool
	// asOf is when the read was sent that last showed the copy to be current.
	asOf time.Time
	// returningSince holds when this proxy first received each returning entry.
	returningSince map[returnID]time.Time
	violations     uint64
}

// NewView returns a view without a copy, which treats no endpoint as ejected.
func NewView(service string) *View {
	return &View{ledger: Ledger{Service: service}, returningSince: make(map[returnID]time.Time)}
}

// ObservePlatform updates the view with a ledger read from the platform, or
// written by this proxy, given when the request was sent and when its response
// arrived. A version older than the view's is ignored. The error is
// ErrInvalidCopy.
func (v *View) ObservePlatform(l Ledger, version int64, sentAt, receivedAt time.Time) error {
	return v.observe(l, version, sentAt, sentAt, receivedAt)
}

// ObservePeer updates the view with a copy from a peer, given when the request
// to the peer was sent and when its response arrived. The errors are
// ErrInvalidCopy and ErrInvalidLedger.
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

// ObserveValue updates the view with an encoded ledger that was current at asOf,
// given when the request for it was sent and when its response arrived. The
// errors are ErrInvalidCopy and ErrInvalidLedger.
func (v *View) ObserveValue(value []byte, version int64, asOf, sentAt, receivedAt time.Time) error {
	l, err := Decode(v.ledger.Service, value)
	if err != nil {
		return err
	}
	return v.observe(l, version, asOf, sentAt, receivedAt)
}

// Confirm renews the validity of the copy, because a read that was sent at asOf
// showed no newer version. It does nothing if the view has no copy.
func (v *View) Confirm(asOf time.Time) {
	if v.hasCopy && asOf.After(v.asOf) {
		v.asOf = asOf
	}
}

// PeerCopy returns the copy to send to a peer, and false if it is not valid.
func (v *View) PeerCopy(now time.Time) (PeerCopy, bool) {
	age := now.Sub(v.asOf) + time.Millisecond - time.Nanosecond // rounds up
	if !v.hasCopy || age >= Validity {
		return PeerCopy{}, false
	}
	value, err := v.ledger.Encode()
	if err != nil {
		return PeerCopy{}, false
	}
	return PeerCopy{Version: v.version, AgeMillis: age.Milliseconds(), Value: value}, true
}

// Valid reports whether the view has a copy that has not expired.
func (v *View) Valid(now time.Time) bool {
	return v.hasCopy && !Expired(now, v.ValidUntil())
}

// Expired reports whether the time until has been reached by the monotonic clock
// or by the wall clock. Both are checked, because the monotonic clock stops while
// a VM is suspended and the wall clock may be set back.
func Expired(now, until time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// ValidUntil returns when the copy expires.
func (v *View) ValidUntil() time.Time {
	return v.asOf.Add(Validity)
}

// Ejected reports whether this proxy must treat the endpoint as ejected.
func (v *View) Ejected(endpoint string, now time.Time) bool {
	if !v.Valid(now) {
		return false
	}
	e, ok := v.ledger.Entry(endpoint)
	return ok && e.State == StateEjected
}

// EjectedWithin returns the ejected endpoints that must not be picked until
// ValidUntil. If the pool has a higher floor or more unavailable endpoints than
// the ledger was written for, it returns only the endpoints with the strongest
// evidence that leave the floor. A raised floor thus takes effect in this proxy
// before the ledger is changed.
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

// Ledger returns the newest copy, which may have expired, and its version. A
// draft may be based on it: the conditional update fails if it is not current.
func (v *View) Ledger() (Ledger, int64) {
	return v.ledger.clone(), v.version
}

// Removable returns the endpoints whose returning entry this proxy has held for
// RemoveHold.
func (v *View) Removable(now time.Time) []string {
	var endpoints []string
	for _, e := range v.ledger.Entries {
		if e.State == StateReturning && v.holdElapsed(e, now) {
			endpoints = append(endpoints, e.Endpoint)
		}
	}
	return endpoints
}

// Check checks that the ledger leaves the floor of the configuration that it was
// written under. If not, it counts a violation and returns ErrFloorViolated.
func (v *View) Check(p Pool) error {
	if !v.hasCopy || v.ledger.ConfigRevision != p.revision {
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

// Violations returns the number of violations that Check has found.
func (v *View) Violations() uint64 { return v.violations }

func (v *View) observe(l Ledger, version int64, asOf, sentAt, receivedAt time.Time) error {
	if receivedAt.Before(sentAt) {
		return eris.Wrap(ErrInvalidCopy, "response arrived before the request was sent")
	}
	if v.hasCopy && version < v.version {
		return nil
	}
	if v.hasCopy && version == v.version {
		v.Confirm(asOf)
		return nil
	}
	v.ledger = l.clone()
	v.version = version
	v.asOf = asOf
	v.hasCopy = true
	v.trackReturning(receivedAt)
	return nil
}

// trackReturning starts the hold of new returning entries and discards the hold
// of entries that are no longer in the ledger.
func (v *View) trackReturning(receivedAt time.Time) {
	current := make(map[returnID]time.Time)
	for _, e := range v.ledger.Entries {
		if e.State != StateReturning {
			continue
		}
		key := returnID{endpoint: e.Endpoint, operation: e.Operation}
		current[key] = receivedAt
		if since, ok := v.returningSince[key]; ok {
			current[key] = since
		}
	}
	v.returningSince = current
}

func (v *View) holdElapsed(e Entry, now time.Time) bool {
	since, ok := v.returningSince[returnID{endpoint: e.Endpoint, operation: e.Operation}]
	return ok && now.Sub(since) >= RemoveHold
}

// Entries returns the number of entries in the newest copy, ejected or returning.
func (v *View) Entries() int { return len(v.ledger.Entries) }

// Endpoints returns the endpoints of the newest copy in the given state, sorted.
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
