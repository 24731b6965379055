package deployment

import (
	"fmt"
	"time"
)

// Header fields in which an endpoint describes itself.
const (
	HeaderLeaving    = "Server-Leaving"
	HeaderRetryAfter = "Retry-After"
)

// Rest makes an endpoint reject requests and ask their senders for a pause.
type Rest struct {
	// Ratio is the share of requests that are rejected, from 0 to 1.
	Ratio float64
	// RetryAfter is the value of the field, Pause what it stands for.
	RetryAfter string
	Pause      time.Duration
}

// Arrival is a request that reached an endpoint, also one that was rejected, with what the
// response states. Requests that got status 421 are left out.
type Arrival struct {
	ID         string
	At         time.Time
	AnsweredAt time.Time // of the response, or the zero time
	Leaving    bool      // the response states that the endpoint leaves
	RestUntil  time.Time // end of the pause that the response asks for, or the zero time
}

// SetLeaving makes the endpoint say in all responses that it leaves, whatever its entry in
// the store states.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Arrivals returns the requests that reached the endpoint in order.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Arrival, 0, len(e.arrivals))
	for _, a := range e.arrivals {
		list = append(list, *a)
	}
	return list
}

// arrive records a request and returns the header field that says that the endpoint leaves,
// or an empty string.
func (e *Endpoint) arrive(id string) (a *Arrival, field string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a = &Arrival{ID: id, At: time.Now(), Leaving: e.leaving}
	e.arrivals = append(e.arrivals, a)
	if e.leaving {
		field = HeaderLeaving + ": 1\r\n"
	}
	return a, field
}

// withdrawNotice records that the response to a request says nothing about the endpoint.
func (e *Endpoint) withdrawNotice(a *Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Leaving = false
}

// answered records that the response to a request was sent, and the pause that it asks for.
func (e *Endpoint) answered(a *Arrival, pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.AnsweredAt = time.Now()
	if pause > 0 {
		a.RestUntil = a.AnsweredAt.Add(pause)
	}
}

// The requirements of the platform on what endpoints say in responses.
const (
	// DrainTime is the time after which no request goes to an endpoint whose response said
	// that it leaves.
	DrainTime = 2 * time.Second
	// restDelay is the time after a response from which a pause binds its receiver, and
	// maxRequestsInRest is the number of requests that it may send in it.
	restDelay         = 500 * time.Millisecond
	maxRequestsInRest = 2
)

// NoticeViolations compares arrivals at an endpoint with what its responses said before. The
// function sender names the proxy that sent a request and reports whether it is known and
// has to obey at that time.
func NoticeViolations(arrivals []Arrival, sender func(id string, at time.Time) (proxy string, bound bool)) []string {
	var violations []string
	bySender := map[string][]Arrival{}
	for _, a := range arrivals {
		if proxy, bound := sender(a.ID, a.At); bound {
			bySender[proxy] = append(bySender[proxy], a)
		}
	}
	for proxy, list := range bySender {
		violations = append(violations, leavingViolations(proxy, list)...)
		violations = append(violations, restViolations(proxy, list)...)
	}
	return violations
}

func leavingViolations(proxy string, list []Arrival) []string {
	var toldAt time.Time
	for _, a := range list {
		if a.Leaving && !a.AnsweredAt.IsZero() && (toldAt.IsZero() || a.AnsweredAt.Before(toldAt)) {
			toldAt = a.AnsweredAt
		}
	}
	late := 0
	for _, a := range list {
		if !toldAt.IsZero() && a.At.After(toldAt.Add(DrainTime)) {
			late++
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s sent %d requests to an endpoint later than %s after a response said at %s that it leaves",
		proxy, late, DrainTime, toldAt.Format(time.StampMilli))}
}

func restViolations(proxy string, list []Arrival) []string {
	for _, told := range list {
		if told.RestUntil.IsZero() {
			continue
		}
		early := 0
		for _, a := range list {
			if a.At.After(told.AnsweredAt.Add(restDelay)) && a.At.Before(told.RestUntil) {
				early++
			}
		}
		if early > maxRequestsInRest {
			return []string{fmt.Sprintf("%s sent %d requests in a pause from %s to %s",
				proxy, early, told.AnsweredAt.Format(time.StampMilli), told.RestUntil.Format(time.StampMilli))}
		}
	}
	return nil
}
