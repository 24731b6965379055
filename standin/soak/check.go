package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

const (
	callersOfAProxy = 2
	requestDeadline = 2 * time.Second
	// settleTime is what the fleet has after the last disturbance.
	settleTime = 5 * time.Second
	// leastServed is the share that must be served when all disturbances are over:
	// the rules ask for a quarter; a calm fleet serves all but a few.
	leastServed = 0.95
	finalCalls  = 60
)

// result is what a seed showed.
type result struct {
	asked, served, refused, failed int
	events                         []string
	broken                         []string
}

func (r result) String() string {
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed, %d disturbances",
		r.asked, r.served, r.refused, r.failed, len(r.events))
}

func (s *scene) note(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.events = append(s.result.events, event)
}

func (s *scene) fault(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.broken = append(s.result.broken, text+" after: "+strings.Join(s.result.events, "; "))
}

// play runs the load and the disturbances, and checks what is left.
func (s *scene) play(length time.Duration) result {
	defer s.close()
	if !s.awaitReady() {
		s.fault("the fleet does not become ready")
		return s.result
	}
	until := time.Now().Add(length)
	var group sync.WaitGroup
	for i := range s.proxies {
		for k := range callersOfAProxy {
			group.Go(func() { s.call(s.proxies[i], uint64(i*callersOfAProxy+k), until) })
		}
	}
	s.disturb(until)
	group.Wait()
	time.Sleep(settleTime)
	if !s.awaitReady() {
		s.fault("the fleet does not recover")
		return s.result
	}
	s.checkRecovery()
	return s.result
}

func (s *scene) awaitReady() bool {
	limit := time.Now().Add(startTimeout)
	for _, p := range s.proxies {
		for !p.isReady() {
			if time.Now().After(limit) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// call sends requests on connections that it keeps until they end.
func (s *scene) call(p *proxy, number uint64, until time.Time) {
	var c *deployment.Caller
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = deployment.Dial(p.callers); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%04x%04x%08x", s.seed, number, n)
		if !s.exchange(c, id, n) {
			c.Close()
			c = nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// exchange makes one request and reports whether the connection goes on.
func (s *scene) exchange(c *deployment.Caller, id string, n int) bool {
	method, target, body := http.MethodGet, "/read/x", ""
	switch n % 3 {
	case 1:
		method, target, body = http.MethodPost, "/book/x", "order "+id
	case 2:
		target = "/move/x"
	}
	if err := c.Send(method, host, target, id, requestDeadline, body); err != nil {
		return false
	}
	a := c.Receive(requestDeadline + time.Second)
	s.check(id, method, body, a)
	return a.Err == nil && !a.Close
}

// check compares an answer with what the endpoints saw.
func (s *scene) check(id, method, body string, a deployment.Response) {
	runs := s.ledger.Executions(id)
	s.mu.Lock()
	s.result.asked++
	switch {
	case a.Err == nil && a.Status == http.StatusOK:
		s.result.served++
	case a.Err == nil && a.Status == http.StatusServiceUnavailable:
		s.result.refused++
	default:
		s.result.failed++
	}
	s.mu.Unlock()
	if method == http.MethodPost && len(runs) > 1 {
		s.fault(fmt.Sprintf("%s ran %d times", id, len(runs)))
	}
	for _, r := range runs {
		if r.Method != method || r.Body != body {
			s.fault(fmt.Sprintf("%s was changed: %s %q", id, r.Method, r.Body))
		}
	}
	if a.Err != nil {
		return
	}
	switch a.Status {
	case http.StatusOK:
		if a.Body != deployment.Content(id) || a.RequestID != id || a.Stamp == "" {
			s.fault(fmt.Sprintf("%s: partial or foreign success %+v", id, a))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		if len(runs) > 0 {
			s.fault(fmt.Sprintf("%s: status %d says not run, but it ran %d times", id, a.Status, len(runs)))
		}
	case http.StatusNotFound, http.StatusBadRequest:
		s.fault(fmt.Sprintf("%s: denied with %d", id, a.Status))
	}
}

// checkRecovery checks the calm fleet: requests are served, the newest configuration
// is in force, and endpoints that left get nothing.
func (s *scene) checkRecovery() {
	s.mu.Lock()
	left := map[string]bool{}
	for _, m := range s.endpoints {
		if m.leaving {
			left[m.endpoint.ID()] = true
		}
	}
	target := s.target
	s.mu.Unlock()
	served := 0
	for n := range finalCalls {
		p := s.proxies[n%len(s.proxies)]
		c, err := deployment.Dial(p.callers)
		if err != nil {
			s.fault(p.name + " takes no connection after its recovery")
			continue
		}
		id := fmt.Sprintf("%04xffff%08x", s.seed, n)
		if err := c.Send(http.MethodGet, host, "/move/x", id, requestDeadline, ""); err == nil {
			if a := c.Receive(requestDeadline + time.Second); a.Err == nil && a.Status == http.StatusOK {
				served++
			}
		}
		c.Close()
		for _, r := range s.ledger.Executions(id) {
			if r.Service != target {
				s.fault(fmt.Sprintf("%s: %s follows an older configuration: %s instead of %s", id, p.name, r.Service, target))
			}
			if left[r.Endpoint] {
				s.fault(fmt.Sprintf("%s: %s sent it to %s, which left", id, p.name, r.Endpoint))
			}
		}
	}
	if float64(served) < leastServed*finalCalls {
		s.fault(fmt.Sprintf("only %d of %d served after the recovery", served, finalCalls))
	}
}
