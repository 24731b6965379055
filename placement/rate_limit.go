package placement

import "time"

// LimitStatement tells what a response states about the rate limit of its endpoint.
type LimitStatement uint8

// The statements of a response.
const (
	// LimitUnknown is no statement: there is no valid response.
	LimitUnknown LimitStatement = iota
	// LimitDeclared is a limit on the requests per second from all proxies together.
	LimitDeclared
	// LimitAbsent is a served request without a limit.
	LimitAbsent
)

// RateLimit is what a response states about the rate limit of its endpoint.
type RateLimit struct {
	Statement LimitStatement
	// PerSecond is the number of requests per second if Statement is LimitDeclared.
	PerSecond float64
}

// KnownLimit is a rate limit that a view knows of.
type KnownLimit struct {
	ID        string
	PerSecond float64
	// DeclaredAt is the time of the latest response that declared it.
	DeclaredAt time.Time
}

const (
	// minRatePerSecond is used for lower limits, because only a response can state that
	// the limit has ended.
	minRatePerSecond = 0.25
	// limitBurst is the time for which an unused limit can be saved up.
	limitBurst = 250 * time.Millisecond
)

// rateLimit is the token bucket of an endpoint with a rate limit. One token is the right
// to grant one attempt. The bucket is empty when the limit is declared, because the
// attempts in flight have used what was allowed.
type rateLimit struct {
	perSecond  float64
	since      time.Time // of the first declaration
	declaredAt time.Time // of the latest declaration
	granted    int       // attempts granted since the first declaration

	share   float64 // of the limit that this view may use, 0 to 1
	holders []string
	tokens  float64
	at      time.Time // of the last refill
}

// rate returns the attempts per second that this view may grant.
func (l *rateLimit) rate() float64 { return max(l.perSecond, minRatePerSecond) * l.share }

func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.tokens += elapsed.Seconds() * l.rate()
		l.at = now
	}
	if l.share == 0 {
		l.tokens = 0
	}
	l.tokens = min(l.tokens, max(1, limitBurst.Seconds()*l.rate()))
}

// setShare changes the share of the limit that this view may use from now on.
func (l *rateLimit) setShare(now time.Time, share float64) {
	l.refill(now)
	l.share = share
	l.refill(now)
}

// tokenTolerance absorbs rounding errors of refills.
const tokenTolerance = 1e-6

// open reports whether the limit allows an attempt.
func (l *rateLimit) open(now time.Time) bool {
	l.refill(now)
	return l.tokens >= 1-tokenTolerance
}

// opensAt returns the time from which the limit allows the next attempt, and false if
// there is none.
func (l *rateLimit) opensAt() (time.Time, bool) {
	if l.rate() == 0 {
		return time.Time{}, false
	}
	return l.at.Add(time.Duration(max(0, 1-l.tokens) / l.rate() * float64(time.Second))), true
}

// open reports whether the rate limit of the endpoint, if any, allows an attempt.
func (t *target) open(now time.Time) bool { return t.limit == nil || t.limit.open(now) }

// RateLimitChange reports that an endpoint declared another limit, or none any more.
type RateLimitChange struct {
	Endpoint string
	Limited  bool
	// PerSecond is the limit, or the last one if Limited is not set.
	PerSecond float64
	// Granted is the number of attempts that this view granted at the endpoint since
	// the time Since of the first declaration.
	Granted int
	Since   time.Time
	// Token is the attempt whose response made the declaration, or 0 if another view
	// knew of the limit.
	Token uint64
}

// ObserveRateLimit records what the response to an attempt states. The attempt was
// granted by this view, or began at the endpoint id at the time began. A limit is no
// evidence of a failure.
func (s *Scheduler) ObserveRateLimit(now time.Time, token uint64, id string, began time.Time, l RateLimit) {
	t := s.targets[id]
	if g, found := s.grants[token]; found {
		t, began = g.target, g.since
	}
	if t == nil {
		return
	}
	switch l.Statement {
	case LimitDeclared:
		s.setRateLimit(now, t, token, l.PerSecond, now)
	case LimitAbsent:
		// A response to an earlier attempt may overtake a declaration.
		if t.limit != nil && began.After(t.limit.declaredAt) {
			s.clearRateLimit(now, t, token)
		}
	}
}

// knownLimitMaxAge is the age up to which a declaration is passed on to another view. An
// endpoint with a limit that is in use confirms it at least once in this time.
const knownLimitMaxAge = 10 * time.Second

// KnownLimits returns the limits that were declared recently, for a view that takes over
// the service.
func (s *Scheduler) KnownLimits(now time.Time) []KnownLimit {
	var list []KnownLimit
	for t := range s.limited {
		if now.Sub(t.limit.declaredAt) < knownLimitMaxAge {
			list = append(list, KnownLimit{ID: t.endpoint.id, PerSecond: t.limit.perSecond, DeclaredAt: t.limit.declaredAt})
		}
	}
	return list
}

// ApplyKnownLimits records limits that another view knows of, unless this view has heard
// from the endpoint since.
func (s *Scheduler) ApplyKnownLimits(now time.Time, limits []KnownLimit) {
	for _, l := range limits {
		t, found := s.targets[l.ID]
		if found && (t.limit == nil || l.DeclaredAt.After(t.limit.declaredAt)) && l.DeclaredAt.After(t.unlimitedAt) {
			s.setRateLimit(now, t, 0, l.PerSecond, l.DeclaredAt)
		}
	}
}

func (s *Scheduler) setRateLimit(now time.Time, t *target, token uint64, perSecond float64, declaredAt time.Time) {
	first := t.limit == nil
	if first {
		t.limit = &rateLimit{since: now, at: now}
		s.limited[t] = struct{}{}
	}
	changed := first || t.limit.perSecond != perSecond
	t.limit.declaredAt = declaredAt
	if !changed {
		return
	}
	t.limit.refill(now)
	t.limit.perSecond = perSecond
	s.assignHolders(t)
	s.updateShare(now, t)
	s.updateTarget(now, t)
	s.notifyRateLimit(t, token, true)
}

func (s *Scheduler) clearRateLimit(now time.Time, t *target, token uint64) {
	s.notifyRateLimit(t, token, false)
	t.limit, t.unlimitedAt = nil, now
	delete(s.limited, t)
	s.updateTarget(now, t)
}

func (s *Scheduler) notifyRateLimit(t *target, token uint64, limited bool) {
	if s.observer == nil {
		return
	}
	s.observer.RateLimitChanged(RateLimitChange{
		Endpoint: t.endpoint.id, Limited: limited, PerSecond: t.limit.perSecond, Granted: t.limit.granted,
		Since: t.limit.since, Token: token,
	})
}

// HasRateLimit reports whether the endpoint has declared a limit.
func (s *Scheduler) HasRateLimit(id string) bool {
	t, found := s.targets[id]
	return found && t.limit != nil
}

// nextOpening returns the earliest time from which a healthy endpoint may be available
// that has a free slot but is held back by its rate limit, and false if there is none.
func (s *Scheduler) nextOpening() (time.Time, bool) {
	var earliest time.Time
	for t := range s.limited {
		if t.inFlight >= t.capacity || t.position[setHealthy] == 0 || t.position[setAvailable] > 0 {
			continue
		}
		if at, found := t.limit.opensAt(); found && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}
