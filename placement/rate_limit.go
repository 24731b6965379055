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

// rateLimit is the state of an endpoint with a limit. Nil means that there is none.
type rateLimit struct {
	perSecond  float64
	since      time.Time // of the first declaration
	declaredAt time.Time // of the latest declaration
	granted    int       // attempts granted since the first declaration
}

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
	// Token is the attempt whose response made the declaration.
	Token uint64
}

// ObserveRateLimit records what the response to an attempt states. The attempt was
// granted by this view, or began at the endpoint id at the time began.
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
		s.setRateLimit(now, t, token, l.PerSecond)
	case LimitAbsent:
		// A response to an earlier attempt may overtake a declaration.
		if t.limit != nil && began.After(t.limit.declaredAt) {
			s.clearRateLimit(t, token)
		}
	}
}

func (s *Scheduler) setRateLimit(now time.Time, t *target, token uint64, perSecond float64) {
	if t.limit == nil {
		t.limit = &rateLimit{since: now}
	}
	changed := t.limit.since.Equal(now) || t.limit.perSecond != perSecond
	t.limit.perSecond, t.limit.declaredAt = perSecond, now
	if changed {
		s.notifyRateLimit(t, token, true)
	}
}

func (s *Scheduler) clearRateLimit(t *target, token uint64) {
	s.notifyRateLimit(t, token, false)
	t.limit = nil
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
