package rollout

import "time"

// FreshFor is how long a process stays ready after its configuration was
// confirmed as current, or after it reached a majority of the members.
const FreshFor = 10 * time.Second

// Readiness is whether a process may accept new requests, or the reason why not.
type Readiness string

// The results of [Freshness.Ready].
const (
	Ready              Readiness = "ready"
	UnreadyNoConfig    Readiness = "no configuration yet"
	UnreadyUnconfirmed Readiness = "cannot confirm that the configuration is current"
)

// Freshness decides whether a process may serve with its configuration. All times
// are by the process's own clock: peers report ages, not times. It is not safe
// for concurrent use.
type Freshness struct {
	confirmedAt time.Time
	// revision is the head revision that was confirmed as current at confirmedAt.
	revision   int64
	majorityAt time.Time
}

// ConfirmByPlatform records that the platform returned the head with the given
// revision in response to a request sent at sentAt.
func (f *Freshness) ConfirmByPlatform(sentAt time.Time, revision int64) {
	f.confirm(sentAt, revision)
}

// ConfirmByPeer records a confirmation by a peer, which responded to a request
// sent at sentAt that the platform had confirmed the revision this age ago.
func (f *Freshness) ConfirmByPeer(sentAt time.Time, age time.Duration, revision int64) {
	f.confirm(sentAt.Add(-max(age, 0)), revision)
}

func (f *Freshness) confirm(at time.Time, revision int64) {
	if revision < f.revision || !at.After(f.confirmedAt) {
		return
	}
	f.confirmedAt = at
	f.revision = revision
}

// ObserveMembers records how many of the known members are reachable. Both
// numbers include this process.
func (f *Freshness) ObserveMembers(now time.Time, reachable, known int) {
	if 2*reachable > known && now.After(f.majorityAt) {
		f.majorityAt = now
	}
}

// Confirmation returns the revision and the age of the newest confirmation, to be
// sent to peers. It returns false if there is none.
func (f *Freshness) Confirmation(now time.Time) (revision int64, age time.Duration, ok bool) {
	if f.confirmedAt.IsZero() {
		return 0, 0, false
	}
	return f.revision, max(now.Sub(f.confirmedAt), 0), true
}

// Ready returns the readiness of a process with the revision held, which is 0 if
// it has no configuration. A confirmation of a higher revision does not make it
// ready, because it shows that its configuration is out of date.
func (f *Freshness) Ready(now time.Time, held int64) Readiness {
	if held == 0 {
		return UnreadyNoConfig
	}
	if held >= f.revision && isRecent(now, f.confirmedAt) || isRecent(now, f.majorityAt) {
		return Ready
	}
	return UnreadyUnconfirmed
}

func isRecent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < FreshFor }
