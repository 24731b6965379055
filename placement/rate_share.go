package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// The rate limit of an endpoint is divided into equal shares, each held by one proxy. A
// proxy lends its share to the view that places its requests, for a limited time, or uses
// the share in its own view. Normally the owner of the service has all shares. Proxies
// that reach different owners, or none, still stay within the limit together, because a
// share is in one view at a time.

const (
	// limitHolders is the number of shares beyond one for each request per second. Each
	// holder that places its requests alone may save up one attempt.
	limitHolders = 4
	// maxLimitHolders bounds the shares of a limit.
	maxLimitHolders = 32
	// shareValidity is the time for which a view may use a share that a proxy lent.
	shareValidity = 2 * time.Second
	// shareRenewal is the time before the end of the validity at which a view asks for the
	// share again.
	shareRenewal = time.Second
	// shareReturnDelay is the time after shareValidity until the proxy uses its share
	// otherwise. It covers the delay of the message that lent the share.
	shareReturnDelay = maxShareDelay
	// maxShareDelay bounds the time for which a message about a share is underway.
	maxShareDelay = 500 * time.Millisecond
	// ShareReturnRest is the time after a view returned shares in which it accepts none: a
	// share that was lent before may still be underway, and be in another view already.
	ShareReturnRest = 2 * maxShareDelay
)

// ShareLease records in which view the share of one proxy is. The zero value is a share in
// no view.
type ShareLease struct {
	view  string
	until time.Time
}

// Lend lends the share to a view and reports whether the view may use it for
// shareValidity. It may not while another view may still use the share.
func (l *ShareLease) Lend(now time.Time, view string) bool {
	if l.view != view && now.Before(l.until) {
		return false
	}
	l.view, l.until = view, now.Add(shareValidity+shareReturnDelay)
	return true
}

// Return takes the share back from a view that does not use it any more.
func (l *ShareLease) Return(view string) {
	if l.view == view {
		*l = ShareLease{}
	}
}

// SetMembers replaces the proxies among which rate limits are divided. Without any, this
// view may use whole limits.
func (s *Scheduler) SetMembers(now time.Time, proxies []string) {
	s.members = proxies
	for proxy, until := range s.shares {
		if !now.Before(until) {
			delete(s.shares, proxy)
		}
	}
	for t := range s.limited {
		s.assignHolders(t)
		s.updateShare(now, t)
	}
}

// HoldShare lets this view use the share of a proxy for shareValidity.
func (s *Scheduler) HoldShare(now time.Time, proxy string) {
	s.shares[proxy] = now.Add(shareValidity)
}

// ReleaseShare ends the use of the share of a proxy by this view.
func (s *Scheduler) ReleaseShare(now time.Time, proxy string) {
	delete(s.shares, proxy)
	s.updateShares(now)
}

// ReleaseShares ends the use of all shares by this view, and returns the proxies whose shares
// were still valid.
func (s *Scheduler) ReleaseShares(now time.Time) []string {
	var released []string
	for proxy, until := range s.shares {
		if now.Before(until) {
			released = append(released, proxy)
		}
	}
	clear(s.shares)
	s.updateShares(now)
	return released
}

// WantsShares reports whether the proxies that hold shares of rate limits have changed
// since the last call of MissingShares.
func (s *Scheduler) WantsShares() bool { return s.wantsShares }

// MissingShares returns the proxies whose shares of rate limits this view does not have or
// should renew.
func (s *Scheduler) MissingShares(now time.Time) []string {
	s.wantsShares = false
	var missing []string
	for t := range s.limited {
		for _, proxy := range t.limit.holders {
			if s.shares[proxy].Before(now.Add(shareRenewal)) {
				missing = append(missing, proxy)
			}
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// assignHolders chooses the proxies that hold the shares of a limit by rendezvous hashing,
// so that all views choose the same ones.
func (s *Scheduler) assignHolders(t *target) {
	count := limitHolders + min(t.limit.perSecond, maxLimitHolders)
	t.limit.holders = highestRanked(s.members, t.endpoint.id, min(int(count), maxLimitHolders))
	s.wantsShares = true
}

// highestRanked returns up to count names with the highest hashes for a key.
func highestRanked(names []string, key string, count int) []string {
	type ranked struct {
		name string
		hash uint64
	}
	list := make([]ranked, len(names))
	for i, name := range names {
		list[i] = ranked{name: name, hash: xxh3.HashString(key + "|" + name)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	highest := make([]string, 0, count)
	for _, r := range list[:min(count, len(list))] {
		highest = append(highest, r.name)
	}
	return highest
}

// updateShares applies given and expired shares to all limits.
func (s *Scheduler) updateShares(now time.Time) {
	for t := range s.limited {
		s.updateShare(now, t)
	}
}

func (s *Scheduler) updateShare(now time.Time, t *target) {
	if len(t.limit.holders) == 0 {
		t.limit.setShare(now, 1)
		return
	}
	held := 0
	for _, proxy := range t.limit.holders {
		if now.Before(s.shares[proxy]) {
			held++
		}
	}
	t.limit.setShare(now, float64(held)/float64(len(t.limit.holders)))
}
