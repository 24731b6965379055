package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

const (
	host          = "soak.example"
	readyPath     = "/carawayhold/readiness"
	startTimeout  = 15 * time.Second
	stopTimeout   = 10 * time.Second
	restartPause  = 200 * time.Millisecond
	stopGrace     = 6 * time.Second // from the signal to stop until the process is killed
	services      = 2
	serviceSize   = 4
	slots         = 4
	work          = 30 * time.Millisecond
	firstPort     = 12000
	portsOfAProxy = 8
)

// proxy is one process and its relay to the store.
type proxy struct {
	name    string
	file    string // settings
	callers string
	ready   string
	store   *deployment.Relay

	mu      sync.Mutex
	process *os.Process // nil between two starts
	closing bool
	ended   chan struct{} // closed when the process is not started again
}

// scene is a fleet with its stand-ins.
type scene struct {
	seed    uint64
	random  *rand.Rand
	program string
	out     string
	store   *deployment.Store
	ledger  *deployment.ExecutionLog
	proxies []*proxy

	mu        sync.Mutex
	endpoints []*member
	version   int
	changedAt time.Time
	target    string // service of the moving route
	result    result
}

// member is an endpoint behind a relay.
type member struct {
	endpoint *deployment.Endpoint
	relay    *deployment.Relay
	service  string
	leaving  bool
}

func newScene(seed uint64, program, out string, proxies int) (*scene, error) {
	store, err := deployment.StartStore()
	if err != nil {
		return nil, err
	}
	s := &scene{
		seed: seed, random: rand.New(rand.NewPCG(seed, 7)), program: program,
		out: filepath.Join(out, fmt.Sprintf("seed-%d", seed)), store: store, ledger: deployment.NewExecutionLog(),
	}
	if err := os.MkdirAll(s.out, 0o755); err != nil {
		return nil, err
	}
	for k := range services {
		for range serviceSize {
			if err := s.addEndpoint(serviceName(k)); err != nil {
				return nil, err
			}
		}
	}
	s.configure(serviceName(0))
	for i := range proxies {
		if err := s.addProxy(i, proxies); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func serviceName(k int) string { return fmt.Sprintf("service-%d", k) }

func (s *scene) addEndpoint(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("i-%d-%d", s.seed, len(s.endpoints))
	e, err := deployment.StartEndpoint(id, service, "zone-0", slots, deployment.Behaviour{ProcessingTime: work}, s.ledger)
	if err != nil {
		return err
	}
	r, err := deployment.StartRelay(e.Address())
	if err != nil {
		return err
	}
	e.Register(s.store, r.Address(), "ready")
	s.endpoints = append(s.endpoints, &member{endpoint: e, relay: r, service: service})
	return nil
}

// configure writes a new version, in which the route /move/ goes to a service.
func (s *scene) configure(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.random.IntN(3)
	s.target, s.changedAt = target, time.Now()
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_s": 3,
			"target_latency_s": 1, "priority": 1, "attempts": 2,
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			route("read", "/read/", "safe", serviceName(0)),
			route("book", "/book/", "unsafe", serviceName(1)),
			route("move", "/move/", "safe", target),
		},
		"services": []map[string]any{
			{"name": serviceName(0), "health_path": "/health", "max_conns": 330},
			{"name": serviceName(1), "health_path": "/health", "max_conns": 330},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15,
		},
	}, nil)
}

const settingsFormat = `[self]
node_name = %q
ip = "127.0.0.1"
zone = "zone-%d"
bootstrap = true
[self.limits]
cpu_share = 0.3
memory_mb = 284
[network]
internal_ports = [%d, %d]
seeds = [%q, %q]
[network.listen]
front = %q
ready = %q
control = %q
[platform.platform]
address = %q
[terms.bounds]
grace_s = 6
retry_budget_ratio = 0.2
retry_budget_burst = 56
budget_window_s = 10
`

func (s *scene) addProxy(i, proxies int) error {
	relay, err := deployment.StartRelay(s.store.Address())
	if err != nil {
		return err
	}
	base := firstPort + (os.Getpid()%100)*100
	address := func(proxy, k int) string { return fmt.Sprintf("127.0.0.1:%d", base+proxy*portsOfAProxy+k) }
	p := &proxy{
		ended: make(chan struct{}), name: fmt.Sprintf("proxy-%d", i), callers: address(i, 0), ready: address(i, 1), store: relay,
		file: filepath.Join(s.out, fmt.Sprintf("proxy-%d.toml", i)),
	}
	settings := fmt.Sprintf(settingsFormat, p.name, i%3, base+i*portsOfAProxy+3, base+i*portsOfAProxy+4,
		address((i+1)%proxies, 2), address((i+2)%proxies, 2), p.callers, p.ready, address(i, 2), relay.Address())
	if err := os.WriteFile(p.file, []byte(settings), 0o644); err != nil {
		return err
	}
	s.proxies = append(s.proxies, p)
	go p.supervise(s.program, s.out)
	return nil
}

// supervise starts the process, and again whenever it has ended, as the platform does.
func (p *proxy) supervise(program, out string) {
	defer close(p.ended)
	for {
		p.mu.Lock()
		closing := p.closing
		p.mu.Unlock()
		if closing {
			return
		}
		if err := p.run(program, out); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", p.name, "cannot be started:", err)
		}
		time.Sleep(restartPause)
	}
}

// run starts the process and waits for its end; its output goes to a file.
func (p *proxy) run(program, out string) error {
	log, err := os.OpenFile(filepath.Join(out, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, "edge")
	command.Env = append(os.Environ(), "CARAWAYHOLD_NODE_FILE="+p.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.process = command.Process
	p.mu.Unlock()
	// The status of a killed process is no error of the soak.
	_ = command.Wait()
	p.mu.Lock()
	p.process = nil
	p.mu.Unlock()
	return nil
}

// signal sends a signal to the present process, if there is one.
func (p *proxy) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		_ = p.process.Signal(s)
	}
}

// stop ends the process for good and kills it if it does not end in time.
func (p *proxy) stop() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

func (p *proxy) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Get("http://" + p.ready + readyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends everything that the scene started.
func (s *scene) close() {
	var group sync.WaitGroup
	for _, p := range s.proxies {
		group.Go(func() {
			p.stop()
			p.store.Close()
		})
	}
	group.Wait()
	for _, m := range s.endpoints {
		m.relay.Close()
		m.endpoint.Close()
	}
	s.store.Close()
}
