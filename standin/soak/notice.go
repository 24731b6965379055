package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

// leaveByResponses adds an endpoint and lets an existing one say in its responses that it
// leaves, while the store goes on to name it ready.
func (s *scenario) leaveByResponses() func() {
	if e := s.succeedEndpoint(func(e *relayedEndpoint) { e.leaving = true }); e != nil {
		e.endpoint.SetLeaving(true)
	}
	return noop
}

// askForRest lets an endpoint reject most requests and ask their senders for a pause.
func (s *scenario) askForRest() func() {
	pauses := []deployment.Rest{
		{Ratio: 0.6, RetryAfter: "1", Pause: time.Second},
		{Ratio: 0.9, RetryAfter: "2.5", Pause: 2500 * time.Millisecond},
		{Ratio: 1, RetryAfter: "4", Pause: 4 * time.Second},
	}
	return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, Rest: pauses[s.randomIndex(len(pauses))]})
}

// checkNotices compares the requests that reached endpoints with what their responses said.
func (s *scenario) checkNotices() {
	s.mu.Lock()
	all := append([]*deployment.Endpoint(nil), s.retired...)
	for _, e := range s.endpoints {
		all = append(all, e.endpoint)
	}
	s.mu.Unlock()
	for _, e := range all {
		arrivals := e.Arrivals()
		for _, a := range arrivals {
			if a.Leaving || !a.RestUntil.IsZero() {
				s.result.notices++
			}
		}
		for _, violation := range deployment.NoticeViolations(arrivals, s.boundSender) {
			s.recordViolation(e.ID() + ": " + violation)
		}
	}
}

// boundSender names the incarnation of the proxy that forwarded a request: a restart or a
// freeze excuses a proxy from what it was told before.
func (s *scenario) boundSender(id string, at time.Time) (string, bool) {
	number, found := s.senderOf(id)
	if !found {
		return "", false
	}
	p := s.proxies[number]
	return fmt.Sprintf("%s after %d restarts and freezes", p.name, p.excusesUntil(at)), !p.excusedAt(at)
}

// excusesUntil returns the number of restarts and freezes of the proxy until a time.
func (p *proxy) excusesUntil(at time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.excused {
		if !e.from.After(at) {
			n++
		}
	}
	return n
}

const (
	// A late request begins to arrive before the proxy closes its listener, 3 s after the
	// signal, and is complete after it. Its work does not fit into the rest of the grace.
	lateStart    = 2700 * time.Millisecond
	maxLatePause = 1900 * time.Millisecond
	lateWork     = 2500 * time.Millisecond
	lateDeadline = 5 * time.Second
	// lastSixth is the part of the grace in which a stop ends attempts in progress.
	lastSixth = stopGrace - stopGrace/6
)

// stopDuringRequest stops a proxy while a request that may run once arrives in parts.
func (s *scenario) stopDuringRequest() func() {
	p := s.randomProxy()
	pause := 400*time.Millisecond + time.Duration(s.randomIndex(int((maxLatePause-400*time.Millisecond)/time.Millisecond)))*time.Millisecond
	stoppedAt := time.Now()
	if !p.restart() {
		return noop
	}
	excuses := p.excusesUntil(time.Now())
	s.lateRequests.Go(func() {
		time.Sleep(lateStart)
		s.sendLate(p, pause, stoppedAt, excuses)
	})
	return noop
}

// sendLate sends a request in parts to a proxy that stops, and checks that it is not cut.
func (s *scenario) sendLate(p *proxy, pause time.Duration, stoppedAt time.Time, excuses int) {
	id := fmt.Sprintf("%04xfffe%08x", s.seed, s.lateNumber.Add(1))
	body := "order " + id
	c, err := deployment.Dial(p.callerAddress)
	if err != nil {
		return
	}
	defer c.Close()
	target := fmt.Sprintf("/book/x?work=%d", lateWork.Milliseconds())
	if c.SendChunked(http.MethodPost, host, target, id, lateDeadline, body, pause) != nil {
		return
	}
	completeAt := time.Now()
	response := c.Receive(lateDeadline + time.Second)
	s.checkResponse(id, http.MethodPost, body, response)
	if response.Err == nil && response.Status != http.StatusBadGateway || p.excusesUntil(time.Now()) != excuses {
		return
	}
	for _, r := range s.executions.Executions(id) {
		cutByStop := !r.Completed && r.EndedAt.Sub(stoppedAt) >= lastSixth && r.EndedAt.Sub(stoppedAt) <= stopGrace
		if cutByStop && r.StartedAt.After(completeAt.Add(-processingTime)) && completeAt.Sub(stoppedAt) > acceptTime {
			s.recordViolation(fmt.Sprintf("%s was complete %s after the stop signal of %s, passed on, and cut after %s",
				id, completeAt.Sub(stoppedAt), p.name, r.EndedAt.Sub(stoppedAt)))
		}
	}
}

// acceptTime is the time after a stop signal from which requests that are passed on must be
// completed.
const acceptTime = 3 * time.Second
