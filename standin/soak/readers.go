package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

const (
	// changeBound is the time in which a change has to be in force at proxies that nothing
	// happened to: config_apply_s and drain_s of the deployments.
	changeBound = 2 * time.Second
	// readersDown is how long the readers of the store are lost. It exceeds the bound, so that
	// they cannot tell the others when they return.
	readersDown = 4 * time.Second
	// maxStrikeDelay is the longest time between a change and the loss of the readers. Readers
	// pass changes on within about 50 ms.
	maxStrikeDelay = 60 * time.Millisecond
	// checksPerProxy is the number of requests to each proxy that show whether a change is in
	// force: one in five endpoints of a service drains.
	checksPerProxy = 20
)

// loseReaders disturbs all proxies that read the store at the moment in which the configuration
// changes and an endpoint begins to drain, and checks the others when the bound has passed.
func (s *scenario) loseReaders() func() {
	readers, others := s.splitReaders()
	if len(others) == 0 {
		return noop
	}
	lose := []func(p *proxy) (end func()){killForLong, freezeProxy, cutFromStore}[s.randomIndex(3)]
	delay := time.Duration(s.randomIndex(int(maxStrikeDelay/time.Millisecond))) * time.Millisecond
	began := time.Now()
	s.configure(serviceName(s.randomIndex(services)))
	s.mu.Lock()
	version, target := s.configVersion, s.moveTarget
	s.mu.Unlock()
	drained := s.succeedEndpoint(func(e *relayedEndpoint) { e.draining = true })
	if drained != nil {
		drained.endpoint.Drain(s.store, drained.relay.Address(), time.Hour)
	}
	confirmed := time.Now()
	time.Sleep(delay)
	var ends []func()
	for _, p := range readers {
		ends = append(ends, lose(p))
	}
	for _, p := range others {
		s.lateRequests.Go(func() {
			time.Sleep(time.Until(confirmed.Add(changeBound)))
			s.checkChange(p, change{from: began, confirmed: confirmed, version: version, target: target, drained: drained})
		})
	}
	return func() {
		time.Sleep(time.Until(confirmed.Add(readersDown)))
		for _, end := range ends {
			end()
		}
	}
}

// change is a change of the configuration and of an endpoint.
type change struct {
	from, confirmed time.Time
	version         int
	target          string           // service of the route /move/
	drained         *relayedEndpoint // or nil
}

// checkChange sends requests to a proxy and checks that it applies a change, unless the proxy, its
// way to the store or the store was disturbed meanwhile.
func (s *scenario) checkChange(p *proxy, c change) {
	for range checksPerProxy {
		for _, target := range []string{"/move/x", "/read/x", "/book/x"} {
			caller, err := deployment.Dial(p.callerAddress)
			if err != nil {
				return
			}
			method, body := http.MethodGet, ""
			if target == "/book/x" {
				method, body = http.MethodPost, "order"
			}
			id := fmt.Sprintf("%04xeeee%08x", s.seed, s.lateNumber.Add(1))
			after := time.Since(c.confirmed)
			if err := caller.Send(method, host, target, id, requestDeadline, body); err == nil {
				s.checkResponse(id, method, body, caller.Receive(requestDeadline+time.Second))
			}
			caller.Close()
			if s.disturbed(p, c) {
				return
			}
			for _, r := range s.executions.Executions(id) {
				if target == "/move/x" && r.Service != c.target {
					s.recordViolation(fmt.Sprintf("%s: %s followed an older configuration %v after the confirmation: %s instead of %s", id, p.name, after, r.Service, c.target))
				}
				if c.drained != nil && r.Endpoint == c.drained.endpoint.ID() {
					s.recordViolation(fmt.Sprintf("%s: %s sent it to %s %v after it began to drain", id, p.name, r.Endpoint, after))
				}
			}
		}
	}
}

// disturbed reports whether something other than the loss of the readers kept the proxy from
// learning of the change, or another configuration has followed.
func (s *scenario) disturbed(p *proxy, c change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.storeTrouble {
		if t.to.IsZero() || t.to.After(c.from) {
			return true
		}
	}
	return s.configVersion != c.version || p.excusedBetween(c.from, time.Now())
}

// excusedBetween reports whether the proxy was excused at some moment of the time.
func (p *proxy) excusedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.excused {
		if e.from.Before(to) && (e.to.IsZero() || e.to.After(from)) {
			return true
		}
	}
	return false
}

// splitReaders returns the proxies that read the store for the others, and the others.
func (s *scenario) splitReaders() (readers, others []*proxy) {
	for _, p := range s.proxies {
		switch p.readsStore() {
		case "1":
			readers = append(readers, p)
		case "0":
			others = append(others, p)
		}
	}
	return readers, others
}

// readsStore returns the metric that tells whether the proxy reads the store for others, or an
// empty string if it does not answer.
func (p *proxy) readsStore() string {
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.metricsAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "carawayhold_hub "); found {
			return value
		}
	}
	return ""
}

func killForLong(p *proxy) func() {
	p.beginExcuse()
	p.mu.Lock()
	p.downUntil = time.Now().Add(readersDown)
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	return noop
}

func freezeProxy(p *proxy) func() {
	p.beginExcuse()
	p.signal(syscall.SIGSTOP)
	return func() {
		p.signal(syscall.SIGCONT)
		p.endExcuse()
	}
}

func cutFromStore(p *proxy) func() {
	p.beginExcuse()
	p.store.SetDropped(true, true)
	return func() {
		p.store.SetDropped(false, false)
		p.store.ResetConnections()
		p.endExcuse()
	}
}
