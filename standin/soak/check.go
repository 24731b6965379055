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
	callersPerProxy = 2
	// noIndex stands for a proxy whose requests are not compared with those of others.
	noIndex         = -1
	requestDeadline = 2 * time.Second
	chunkPause      = 5 * time.Millisecond
	// settleTime is the time for the fleet to recover after the last fault.
	settleTime = 5 * time.Second
	// minServedRatio is the share of requests that must succeed once all faults have
	// ended. The specification requires a quarter; a recovered fleet serves almost all.
	minServedRatio   = 0.95
	recoveryRequests = 60
)

// result counts the requests of one seed by outcome and lists the faults and violations.
type result struct {
	sent, served, refused, failed int
	limits                        int // rate limits that endpoints declared
	notices                       int // responses that say that the endpoint leaves or rests
	faults                        []string
	violations                    []string
}

func (r result) String() string {
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed, %d disturbances, %d rate limits, %d notices",
		r.sent, r.served, r.refused, r.failed, len(r.faults), r.limits, r.notices)
}

func (s *scenario) recordFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.faults = append(s.result.faults, name)
}

// recordViolation records a violation together with the faults injected before it.
func (s *scenario) recordViolation(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.violations = append(s.result.violations, text+" after: "+strings.Join(s.result.faults, "; "))
}

// run sends load while it injects faults and checks that the fleet recovers afterwards.
func (s *scenario) run(length time.Duration) result {
	defer s.close()
	if !s.awaitReady() {
		s.recordViolation("the fleet does not become ready")
		return s.result
	}
	until := time.Now().Add(length)
	var group sync.WaitGroup
	for i := range s.proxies {
		for k := range callersPerProxy {
			group.Go(func() { s.runCaller(s.proxies[i], i, uint64(i*callersPerProxy+k), until) })
		}
	}
	group.Go(func() { s.varyRateLimits(until) })
	group.Go(func() { s.keepBackups(until) })
	group.Go(func() { s.loseLinks(until) })
	group.Go(func() { s.replaceBuilds(until) })
	s.injectFaults(until)
	group.Wait()
	s.lateRequests.Wait()
	s.checkRuns()
	s.checkRateLimits()
	s.checkNotices()
	s.checkCuts()
	s.checkMessages()
	time.Sleep(settleTime)
	if !s.awaitReady() {
		s.recordViolation("the fleet does not recover")
		return s.result
	}
	s.checkRecovery()
	return s.result
}

func (s *scenario) awaitReady() bool {
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

// runCaller sends requests one after the other and reconnects when a connection ends. The index is that
// of the proxy, or noIndex.
func (s *scenario) runCaller(p *proxy, index int, number uint64, until time.Time) {
	var c *deployment.Caller
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = deployment.Dial(p.callerAddress); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%04x%04x%08x", s.seed, number, n)
		if !s.sendRequest(c, id, n, index) {
			c.Close()
			c = nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// sendRequest sends one of the small requests of callers; see exchange.
func (s *scenario) sendRequest(c *deployment.Caller, id string, n, proxy int) bool {
	method, target, body := http.MethodGet, "/read/x", ""
	switch n % 3 {
	case 1:
		method, target, body = http.MethodPost, "/book/x", "order "+id
	case 2:
		target = "/move/x"
	}
	return s.exchange(c, id, method, target, body, method == http.MethodPost && s.randomBool(), proxy)
}

// exchange sends one request, checks its response, and reports whether the connection stays open.
func (s *scenario) exchange(c *deployment.Caller, id, method, target, body string, chunked bool, proxy int) bool {
	at := time.Now()
	var err error
	if chunked {
		err = c.SendChunked(method, host, target, id, requestDeadline, body, chunkPause)
	} else {
		err = c.Send(method, host, target, id, requestDeadline, body)
	}
	if err != nil {
		return false
	}
	response := c.Receive(requestDeadline + time.Second)
	if proxy != noIndex {
		s.recordTry(try{at: at, proxy: proxy, served: response.Err == nil && response.Status == http.StatusOK})
	}
	s.checkResponse(id, method, body, response)
	return response.Err == nil && !response.Close
}

// checkResponse compares a response with the executions that the endpoints recorded.
func (s *scenario) checkResponse(id, method, body string, response deployment.Response) {
	executions := s.executions.Executions(id)
	s.mu.Lock()
	s.result.sent++
	switch {
	case response.Err == nil && response.Status == http.StatusOK:
		s.result.served++
	case response.Err == nil && response.Status == http.StatusServiceUnavailable:
		s.result.refused++
	default:
		s.result.failed++
	}
	s.mu.Unlock()
	for _, r := range executions {
		if r.Method != method || r.Body != body && !r.Early {
			s.recordViolation(fmt.Sprintf("%s was changed: %s %.80q", id, r.Method, r.Body))
		}
	}
	if response.Err != nil {
		return
	}
	switch response.Status {
	case http.StatusOK:
		if response.Body != deployment.Content(id) || response.RequestID != id || response.Stamp == "" || response.InvalidField {
			s.recordViolation(fmt.Sprintf("%s: partial or foreign success %+v", id, response))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		s.mu.Lock()
		s.notRun[id] = response.Status
		s.mu.Unlock()
	case http.StatusNotFound, http.StatusBadRequest:
		s.recordViolation(fmt.Sprintf("%s: denied with %d", id, response.Status))
	}
}

// checkRuns verifies, once all requests have ended, that those that may run once did so, and
// that no request ran whose response states that it did not.
func (s *scenario) checkRuns() {
	for id := range s.executions.CountByRequest() {
		executions := s.executions.Executions(id)
		if status, found := s.notRun[id]; found {
			s.recordViolation(fmt.Sprintf("%s: status %d says not run, but it ran: %s", id, status, runs(executions)))
		}
		if executions[0].Method == http.MethodPost && len(executions) > 1 {
			s.recordViolation(fmt.Sprintf("%s ran %d times: %s", id, len(executions), runs(executions)))
		}
	}
}

func runs(executions []deployment.Execution) string {
	var list []string
	for _, e := range executions {
		list = append(list, fmt.Sprintf("%s at %s", e.Endpoint, e.StartedAt.Format(time.StampMilli)))
	}
	return strings.Join(list, ", ")
}

// checkRecovery verifies that, after the faults, the fleet serves requests, uses the
// newest configuration, and sends no requests to endpoints that have drained.
func (s *scenario) checkRecovery() {
	s.mu.Lock()
	drained := map[string]bool{}
	for _, e := range s.endpoints {
		if e.draining {
			drained[e.endpoint.ID()] = true
		}
	}
	target := s.moveTarget
	s.mu.Unlock()
	served := 0
	for n := range recoveryRequests {
		p := s.proxies[n%len(s.proxies)]
		c, err := deployment.Dial(p.callerAddress)
		if err != nil {
			s.recordViolation(p.name + " takes no connection after its recovery")
			continue
		}
		id := fmt.Sprintf("%04xffff%08x", s.seed, n)
		if err := c.Send(http.MethodGet, host, "/move/x", id, requestDeadline, ""); err == nil {
			if r := c.Receive(requestDeadline + time.Second); r.Err == nil && r.Status == http.StatusOK {
				served++
			}
		}
		c.Close()
		for _, r := range s.executions.Executions(id) {
			if r.Service != target {
				s.recordViolation(fmt.Sprintf("%s: %s follows an older configuration: %s instead of %s", id, p.name, r.Service, target))
			}
			if drained[r.Endpoint] {
				s.recordViolation(fmt.Sprintf("%s: %s sent it to %s, which left", id, p.name, r.Endpoint))
			}
		}
	}
	if float64(served) < minServedRatio*recoveryRequests {
		s.recordViolation(fmt.Sprintf("only %d of %d served after the recovery", served, recoveryRequests))
	}
}
