package membership

import "time"

// Status is the state of a member as seen by a node.
type Status uint8

// The statuses, in the order in which they override each other at the same counter.
const (
	// StatusAlive members answer pings.
	StatusAlive Status = iota + 1
	// StatusSuspect members did not answer probes; they still count as live.
	StatusSuspect
	// StatusDead members did not answer during the whole suspicion time.
	StatusDead
	// StatusLeft members announced their shutdown, or were replaced by another
	// incarnation at the same address.
	StatusLeft
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusDead:
		return "dead"
	case StatusLeft:
		return "left"
	default:
		return "invalid"
	}
}

// Update is the wire form of the state of one member. A higher counter overrides
// a lower one; at the same counter, the higher status overrides.
type Update struct {
	Incarnation Incarnation `msgpack:"i"`
	Name        string      `msgpack:"n"`
	// Address is the IP address and port of the member's peer listener.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	Status  Status `msgpack:"t"`
	// Counter is incremented only by the member itself, to refute a suspicion.
	Counter uint32 `msgpack:"c"`
}

func (u Update) overrides(known Update) bool {
	if u.Counter != known.Counter {
		return u.Counter > known.Counter
	}
	return u.Status > known.Status
}

func (u Update) valid() bool {
	return !u.Incarnation.IsZero() && u.Address != "" &&
		u.Status >= StatusAlive && u.Status <= StatusLeft
}

// Member is a snapshot of the state of one member.
type Member struct {
	update Update
}

// NewMember returns a description of the local process for NewNode.
func NewMember(name, address, zone string, incarnation Incarnation) Member {
	return Member{update: Update{
		Incarnation: incarnation, Name: name, Address: address, Zone: zone, Status: StatusAlive,
	}}
}

// Name returns the configured name of the proxy.
func (m Member) Name() string { return m.update.Name }

// Address returns the IP address and port of the peer listener.
func (m Member) Address() string { return m.update.Address }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.update.Zone }

// Incarnation returns the identity of the member's process.
func (m Member) Incarnation() Incarnation { return m.update.Incarnation }

// Status returns the member's status at the time of the call that returned m.
func (m Member) Status() Status { return m.update.Status }

// Change is a change of the status of a member, or a newly discovered member.
type Change struct {
	member         Member
	previousStatus Status
}

// Member returns the member with its new status.
func (c Change) Member() Member { return c.member }

// PreviousStatus returns the previous status, or zero for a newly discovered member.
func (c Change) PreviousStatus() Status { return c.previousStatus }

// record is the state that a node keeps for another member.
type record struct {
	update      Update
	addressHash uint64 // hash of the address, for rendezvous hashing
	// failedAt is when the first own probe failed since the last ack or update of
	// the member, or zero. Suspicions reported by other nodes do not set it.
	failedAt time.Time
	failures int // failed own probes since failedAt
	// changedAt is when the status last changed.
	changedAt time.Time
}

func (r *record) live() bool {
	return r.update.Status == StatusAlive || r.update.Status == StatusSuspect
}
