package main

import (
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

// disturbance is one kind of trouble. It returns what ends it.
type disturbance struct {
	name  string
	begin func(s *scene) (end func())
}

func none() {}

var disturbances = []disturbance{
	{"kill a proxy", func(s *scene) func() { s.anyProxy().signal(syscall.SIGKILL); return none }},
	{"stop a proxy", func(s *scene) func() {
		p := s.anyProxy()
		p.mu.Lock()
		process := p.process
		p.mu.Unlock()
		if process == nil {
			return none
		}
		_ = process.Signal(syscall.SIGTERM)
		time.AfterFunc(stopGrace, func() { _ = process.Kill() })
		return none
	}},
	{"freeze a proxy", func(s *scene) func() {
		p := s.anyProxy()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"reload a proxy", func(s *scene) func() { s.anyProxy().signal(syscall.SIGHUP); return none }},
	{"cut a proxy from the store", func(s *scene) func() {
		p := s.anyProxy()
		p.store.SetDropped(s.coin(), true)
		return func() { p.store.SetDropped(false, false); p.store.ResetConnections() }
	}},
	{"reset connections to the store", func(s *scene) func() { s.anyProxy().store.ResetConnections(); return none }},
	{"store busy", func(s *scene) func() { return s.storeFault(deployment.FaultUnavailable) }},
	{"store silent", func(s *scene) func() { return s.storeFault(deployment.FaultNoResponse) }},
	{"store loses answers", func(s *scene) func() { return s.storeFault(deployment.FaultResponseLost) }},
	{"store slow", func(s *scene) func() {
		s.store.SetDelay(200 * time.Millisecond)
		return func() { s.store.SetDelay(0) }
	}},
	{"store forgets its history", func(s *scene) func() { s.store.Compact(); return none }},
	{"endpoint fails", func(s *scene) func() { return s.behave(deployment.Behaviour{ProcessingTime: work, FailRatio: 0.8}) }},
	{"endpoint refuses", func(s *scene) func() { return s.behave(deployment.Behaviour{ProcessingTime: work, ShedRatio: 0.6}) }},
	{"endpoint hangs", func(s *scene) func() { return s.behave(deployment.Behaviour{ProcessingTime: work, HangRatio: 0.5}) }},
	{"endpoint loses answers", func(s *scene) func() { return s.behave(deployment.Behaviour{ProcessingTime: work, ResetRatio: 0.4}) }},
	{"endpoint breaks answers off", func(s *scene) func() { return s.behave(deployment.Behaviour{ProcessingTime: work, TruncateRatio: 0.4}) }},
	{"endpoint adds answers", func(s *scene) func() {
		return s.behave(deployment.Behaviour{ProcessingTime: work, ExtraResponseRatio: 0.4})
	}},
	{"endpoint slow", func(s *scene) func() { return s.behave(deployment.Behaviour{ProcessingTime: 10 * work}) }},
	{"endpoint forgets idle connections", func(s *scene) func() {
		return s.behave(deployment.Behaviour{ProcessingTime: work, IdleTimeout: 20 * time.Millisecond})
	}},
	{"connections of an endpoint reset", func(s *scene) func() { s.anyEndpoint().relay.ResetConnections(); return none }},
	{"endpoint cut off", func(s *scene) func() {
		m := s.anyEndpoint()
		m.relay.SetDropped(s.coin(), s.coin())
		return func() { m.relay.SetDropped(false, false); m.relay.ResetConnections() }
	}},
	{"connections of an endpoint delayed", func(s *scene) func() {
		m := s.anyEndpoint()
		m.relay.SetDelay(50 * time.Millisecond)
		return func() { m.relay.SetDelay(0) }
	}},
	{"endpoint leaves, another joins", (*scene).replaceEndpoint},
	{"configuration changes", func(s *scene) func() { s.configure(serviceName(s.pick(services))); return none }},
}

func (s *scene) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *scene) coin() bool { return s.pick(2) == 0 }

func (s *scene) anyProxy() *proxy { return s.proxies[s.pick(len(s.proxies))] }

func (s *scene) anyEndpoint() *member {
	i := s.pick(len(s.endpoints))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[i]
}

func (s *scene) storeFault(f deployment.Fault) func() {
	s.store.SetFault(f)
	return func() { s.store.SetFault(deployment.FaultNone) }
}

func (s *scene) behave(b deployment.Behaviour) func() {
	m := s.anyEndpoint()
	m.endpoint.SetBehaviour(b)
	return func() { m.endpoint.SetBehaviour(deployment.Behaviour{ProcessingTime: work}) }
}

// replaceEndpoint lets an endpoint leave while the store answers, and adds another.
func (s *scene) replaceEndpoint() func() {
	m := s.anyEndpoint()
	s.mu.Lock()
	again := m.leaving
	m.leaving = true
	s.mu.Unlock()
	if again {
		return none
	}
	if err := s.addEndpoint(m.service); err != nil {
		s.fault("cannot add an endpoint: " + err.Error())
		return none
	}
	m.endpoint.Drain(s.store, m.relay.Address(), time.Hour)
	return none
}

// disturb begins disturbances at random until the end of the load. They overlap.
func (s *scene) disturb(until time.Time) {
	var pending []func()
	defer func() {
		for _, end := range pending {
			end()
		}
	}()
	for time.Now().Before(until) {
		d := disturbances[s.pick(len(disturbances))]
		s.note(d.name)
		end := d.begin(s)
		pending = append(pending, end)
		time.Sleep(time.Duration(100+s.pick(700)) * time.Millisecond)
		for len(pending) > 0 && s.pick(3) > 0 {
			pending[0]()
			pending = pending[1:]
		}
	}
}
