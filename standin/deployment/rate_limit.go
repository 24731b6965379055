package deployment

import (
	"strconv"
	"time"
)

// RateLimitPeriod is a time during which an endpoint declares a rate limit in all its
// responses. The endpoint does not enforce the limit.
type RateLimitPeriod struct {
	PerSecond float64
	From      time.Time
	To        time.Time // zero while the limit is in force
	Requests  []LimitedRequest
}

// LimitedRequest is a request that arrived in such a period.
type LimitedRequest struct {
	ID string
	At time.Time
}

// SetRateLimit declares a limit on the requests per second from now on.
func (e *Endpoint) SetRateLimit(perSecond float64) {
	e.EndRateLimit()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = append(e.limits, &RateLimitPeriod{PerSecond: perSecond, From: time.Now()})
}

// EndRateLimit ends the declaration of a limit, if there is one.
func (e *Endpoint) EndRateLimit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.currentLimit(); p != nil {
		p.To = time.Now()
	}
}

// RateLimitPeriods returns the periods with a rate limit in order.
func (e *Endpoint) RateLimitPeriods() []RateLimitPeriod {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]RateLimitPeriod, 0, len(e.limits))
	for _, p := range e.limits {
		list = append(list, *p)
	}
	return list
}

// currentLimit returns the period in force, or nil. The mutex must be held.
func (e *Endpoint) currentLimit() *RateLimitPeriod {
	if n := len(e.limits); n > 0 && e.limits[n-1].To.IsZero() {
		return e.limits[n-1]
	}
	return nil
}

// limitField records the arrival of a request and returns the header field that declares
// the limit in force, or an empty string.
func (e *Endpoint) limitField(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.currentLimit()
	if p == nil {
		return ""
	}
	p.Requests = append(p.Requests, LimitedRequest{ID: id, At: time.Now()})
	return HeaderRateLimit + ": " + strconv.FormatFloat(p.PerSecond, 'f', -1, 64) + "\r\n"
}
