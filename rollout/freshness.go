package rollout

import "time"

// FreshFor is how long a confirmation, or the contact with a majority of the
// members, keeps a process ready.
const FreshFor = 10 * time.Second

// Readiness is whether a process may take new requests, and why not.
type Readiness string

// The results of Freshness.Ready.
const (
	Ready                Readiness = "ready"
	UnreadyNoConfig      Readiness = "no configuration yet"
	UnreadyStaleUnproved Readiness = "cannot confirm that the configuration is current"
)

// Freshness decides whether a process may serve with the configuration it
// holds. All times are the process's own; other processes' clocks enter only
// as ages. It is not safe for concurrent use.
type Freshness struct {
	confirmed time.Time
	// revision is the head revision of the confirmation.
	revision int64
	majority time.Time
}

// ConfirmByPlatform records that the platform returned the head with that
// revision to a request sent at sentAt.
func (f *Freshness) ConfirmByPlatform(sentAt time.Time, revision int64) {
	f.confirm(sentAt, revision)
}

// ConfirmByPeer records a peer's confirmation: the peer answered a request
// sent at sentAt that the platform had confirmed the revision age before.
func (f *Freshness) ConfirmByPeer(sentAt time.Time, age time.Duration, revision int64) {
	f.confirm(sentAt.Add(-max(age, 0)), revision)
}

func (f *Freshness) confirm(at time.Time, revision int64) {
	if revision < f.revision || !at.After(f.confirmed) {
		return
	}
	f.confirmed = at
	f.revision = revision
}

// ObserveMembers records how many of the known members are reachable. Both
// numbers include this process.
func (f *Freshness) ObserveMembers(now time.Time, reachable, known int) {
	if 2*reachable > known && now.After(f.majority) {
		f.majority = now
	}
}

// Confirmation returns the revision and the age of the newest confirmation, to
// be passed to peers, and false if there is none.
func (f *Freshness) Confirmation(now time.Time) (revision int64, age time.Duration, ok bool) {
	if f.confirmed.IsZero() {
		return 0, 0, false
	}
	return f.revision, max(now.Sub(f.confirmed), 0), true
}

// Ready decides for a process that holds the revision held, 0 for none. A
// confirmation of a higher revision shows that the held one is out of date, so
// it does not count.
func (f *Freshness) Ready(now time.Time, held int64) Readiness {
	if held == 0 {
		return UnreadyNoConfig
	}
	if held >= f.revision && recent(now, f.confirmed) || recent(now, f.majority) {
		return Ready
	}
	return UnreadyStaleUnproved
}

func recent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < FreshFor }
