package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

// fault is one kind of failure to inject. begin returns a function that ends it.
type fault struct {
	name  string
	begin func(s *scenario) (end func())
}

func noop() {}

var faults = []fault{
	{"kill a proxy", func(s *scenario) func() {
		p := s.randomProxy()
		p.beginExcuse()
		p.signal(syscall.SIGKILL)
		return noop
	}},
	{"stop a proxy", func(s *scenario) func() { _ = s.randomProxy().restart(); return noop }},
	{"freeze a proxy", func(s *scenario) func() {
		p := s.randomProxy()
		p.beginExcuse()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT); p.endExcuse() }
	}},
	{"reload a proxy", func(s *scenario) func() { s.randomProxy().signal(syscall.SIGHUP); return noop }},
	{"cut a proxy from the store", func(s *scenario) func() {
		p := s.randomProxy()
		p.store.SetDropped(s.randomBool(), true)
		return func() { p.store.SetDropped(false, false); p.store.ResetConnections() }
	}},
	{"reset connections to the store", func(s *scenario) func() { s.randomProxy().store.ResetConnections(); return noop }},
	{"store busy", func(s *scenario) func() { return s.setStoreFault(deployment.FaultUnavailable) }},
	{"store silent", func(s *scenario) func() { return s.setStoreFault(deployment.FaultNoResponse) }},
	{"store loses answers", func(s *scenario) func() { return s.setStoreFault(deployment.FaultResponseLost) }},
	{"store slow", func(s *scenario) func() {
		s.store.SetDelay(200 * time.Millisecond)
		return func() { s.store.SetDelay(0) }
	}},
	{"store restored", (*scenario).restoreStore},
	{"store forgets its history", func(s *scenario) func() { s.store.Compact(); return noop }},
	{"endpoint fails", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, FailRatio: 0.8})
	}},
	{"endpoint refuses", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, ShedRatio: 0.6})
	}},
	{"endpoint hangs", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, HangRatio: 0.5})
	}},
	{"endpoint loses answers", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, ResetRatio: 0.4})
	}},
	{"endpoint breaks answers off", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, TruncateRatio: 0.4})
	}},
	{"endpoint adds answers", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, ExtraResponseRatio: 0.4})
	}},
	{"endpoint repeats responses late", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, ShedRatio: 0.3, LateCopyRatio: 0.1, LateRefusalRatio: 0.5})
	}},
	{"endpoint repeats refusals without identifier late", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, ShedRatio: 0.3, OmitRefusalID: true, LateRefusalRatio: 0.5})
	}},
	{"endpoint refuses before the body", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, EarlyRefusalRatio: 0.5, LateRefusalRatio: 0.1})
	}},
	{"endpoint stops in the middle of a head", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, HeadCutRatio: 0.4})
	}},
	{"endpoint sends invalid heads", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, InvalidHeadRatio: 0.4})
	}},
	{"endpoints omit the length", func(s *scenario) func() {
		return s.changeBehaviours(deployment.Behaviour{ProcessingTime: processingTime, OmitContentLength: true, SplitPause: 2 * processingTime})
	}},
	{"endpoints reset uploads", (*scenario).resetUploads},
	{"another writer leaves invalid entries", (*scenario).writeInvalidEntries},
	{"many callers come to one proxy", (*scenario).crowd},
	{"endpoint restarts at its address", (*scenario).restartEndpoint},
	{"endpoint slow", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: 10 * processingTime})
	}},
	{"endpoint forgets idle connections", func(s *scenario) func() {
		return s.changeBehaviour(deployment.Behaviour{ProcessingTime: processingTime, IdleTimeout: 20 * time.Millisecond})
	}},
	{"connections of an endpoint reset", func(s *scenario) func() { s.randomEndpoint().relay.ResetConnections(); return noop }},
	{"endpoint cut off", func(s *scenario) func() {
		e := s.randomEndpoint()
		e.relay.SetDropped(s.randomBool(), s.randomBool())
		return func() { e.relay.SetDropped(false, false); e.relay.ResetConnections() }
	}},
	{"connections of an endpoint delayed", func(s *scenario) func() {
		e := s.randomEndpoint()
		e.relay.SetDelay(50 * time.Millisecond)
		return func() { e.relay.SetDelay(0) }
	}},
	{"endpoint leaves, another joins", (*scenario).replaceEndpoint},
	{"endpoint leaves by its responses, another joins", (*scenario).leaveByResponses},
	{"endpoint asks for a rest", (*scenario).askForRest},
	{"stop a proxy while a request arrives", (*scenario).stopDuringRequest},
	{"all readers of the configuration and registrations are lost at a change", (*scenario).loseReaders},
	{"configuration changes", func(s *scenario) func() { s.configure(serviceName(s.randomIndex(services))); return noop }},
}

func (s *scenario) randomIndex(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *scenario) randomBool() bool { return s.randomIndex(2) == 0 }

func (s *scenario) randomProxy() *proxy { return s.proxies[s.randomIndex(len(s.proxies))] }

func (s *scenario) randomEndpoint() *relayedEndpoint {
	i := s.randomIndex(len(s.endpoints))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[i]
}

func (s *scenario) setStoreFault(f deployment.Fault) func() {
	s.store.SetFault(f)
	return func() { s.store.SetFault(deployment.FaultNone) }
}

func (s *scenario) changeBehaviour(b deployment.Behaviour) func() {
	e := s.randomEndpoint()
	e.endpoint.SetBehaviour(b)
	return func() { e.endpoint.SetBehaviour(deployment.Behaviour{ProcessingTime: processingTime}) }
}

// changeBehaviours changes several endpoints.
func (s *scenario) changeBehaviours(b deployment.Behaviour) func() {
	var ends []func()
	for range endpointsPerService {
		ends = append(ends, s.changeBehaviour(b))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// replaceEndpoint adds an endpoint and drains an existing one. Both writes bypass the
// faults of the store.
func (s *scenario) replaceEndpoint() func() {
	if e := s.succeedEndpoint(func(e *relayedEndpoint) { e.draining = true }); e != nil {
		e.endpoint.Drain(s.store, e.relay.Address(), time.Hour)
	}
	return noop
}

// succeedEndpoint marks an endpoint that leaves, adds another one to its service and returns
// the former, or nil if it leaves already.
func (s *scenario) succeedEndpoint(mark func(e *relayedEndpoint)) *relayedEndpoint {
	e := s.randomEndpoint()
	s.mu.Lock()
	already := e.draining || e.leaving
	if !already {
		mark(e)
	}
	s.mu.Unlock()
	if already {
		return nil
	}
	if err := s.addEndpoint(e.service); err != nil {
		s.recordViolation("cannot add an endpoint: " + err.Error())
		return nil
	}
	return e
}

// writeInvalidEntries writes entries that name no endpoint, no proxy and no configuration among the
// others. They stay.
func (s *scenario) writeInvalidEntries() func() {
	const format = `{"address":%q,"born":1,"info":{"service":%q,"zone":"z","slots":%s},"status":{"state":"ready","seq":1},"x":%s}`
	const levels = 20_000
	nested := strings.Repeat("[", levels) + strings.Repeat("]", levels)
	entries := []string{
		fmt.Sprintf(format, "127.0.0.1:9", serviceName(1), "4", nested),
		fmt.Sprintf(format, "127.0.0.1:70000", serviceName(1), "4", "1"),
		fmt.Sprintf(format, "127.0.0.1:9", serviceName(1), "9223372036854775807", "1"),
		fmt.Sprintf(format, "127.0.0.1:9", serviceName(1), "1e400", "1"),
		"[]",
	}
	for i, entry := range entries {
		s.store.Put("servers", fmt.Sprintf("invalid-%d", i), json.RawMessage(entry), nil)
	}
	members := []string{
		`{"address":"127.0.0.1:0","zone":"z","cpu_share":1}`, `{"address":7}`, `{"zone":"z","cpu_share":1e400}`, nested, "[]",
	}
	for i, entry := range members {
		s.store.Put(membersKind, fmt.Sprintf("invalid-%d", i), json.RawMessage(entry), nil)
	}
	s.store.Put("config", "invalid", json.RawMessage(nested), nil)
	return noop
}

// membersKind is the kind of the entries of proxies in the store.
const membersKind = "carawayhold-members"

const (
	// A crowd asks for about twice what the endpoints of the fleet can do in its time.
	crowdCallers = 48
	crowdTime    = 2 * time.Second
	// firstOfCrowd is above the numbers of all other callers.
	firstOfCrowd = 0x8000
)

// crowd sends the requests of many callers to one proxy.
func (s *scenario) crowd() func() {
	p := s.randomProxy()
	until := time.Now().Add(crowdTime)
	for range crowdCallers {
		number := firstOfCrowd + s.lateNumber.Add(1)
		s.lateRequests.Go(func() { s.runCaller(p, noIndex, number, until) })
	}
	return noop
}

const (
	// minLapse and maxLapse bound the time for which the entry of a crashed endpoint stays in
	// the store: three heartbeats of 1.5 s at most.
	minLapse = time.Second
	maxLapse = 4500 * time.Millisecond
)

// restartEndpoint crashes an endpoint, whose entry stays in the store for some time. Another
// process takes its address and repeats some of its refusals late until the fault ends.
func (s *scenario) restartEndpoint() func() {
	e := s.randomEndpoint()
	lapse := minLapse + time.Duration(s.randomIndex(int((maxLapse-minLapse)/time.Millisecond)))*time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.draining || e.leaving {
		return noop
	}
	s.restarts++
	id := fmt.Sprintf("i-%d-restart-%d", s.seed, s.restarts)
	faulty := deployment.Behaviour{ProcessingTime: processingTime, LateRefusalRatio: 0.7}
	next, err := deployment.StartEndpoint(id, e.service, "zone-0", slots, faulty, s.executions)
	if err != nil {
		s.result.violations = append(s.result.violations, "cannot restart an endpoint: "+err.Error())
		return noop
	}
	former := e.endpoint
	s.retired = append(s.retired, former)
	e.endpoint = next
	e.relay.SetTarget(next.Address())
	go former.Crash()
	next.Register(s.store, e.relay.Address(), "ready")
	time.AfterFunc(lapse, func() { s.store.Remove("servers", former.ID()) })
	return func() { next.SetBehaviour(deployment.Behaviour{ProcessingTime: processingTime}) }
}

// beginStoreTrouble records that a fault disturbs the store or the way to it, until the returned
// function is called.
func (s *scenario) beginStoreTrouble(fault string) (end func()) {
	if !strings.Contains(fault, "store") {
		return noop
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.storeTrouble)
	s.storeTrouble = append(s.storeTrouble, interval{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.storeTrouble[i].to = time.Now().Add(stableWindow)
	}
}

// injectFaults begins random faults, which overlap, until the end of the load, and
// then ends those that remain.
func (s *scenario) injectFaults(until time.Time) {
	var pending []func()
	defer func() {
		for _, end := range pending {
			end()
		}
	}()
	for time.Now().Before(until) {
		f := s.faults[s.randomIndex(len(s.faults))]
		s.recordFault(f.name)
		ended := s.beginStoreTrouble(f.name)
		end := f.begin(s)
		pending = append(pending, func() { end(); ended() })
		time.Sleep(time.Duration(100+s.randomIndex(700)) * time.Millisecond)
		for len(pending) > 0 && s.randomIndex(3) > 0 {
			pending[0]()
			pending = pending[1:]
		}
	}
}
