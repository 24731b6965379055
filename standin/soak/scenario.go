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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

const (
	host                = "soak.example"
	readyPath           = "/carawayhold/readiness"
	startTimeout        = 15 * time.Second
	stopTimeout         = 10 * time.Second
	restartPause        = 200 * time.Millisecond
	stopGrace           = 6 * time.Second // between SIGTERM and SIGKILL
	services            = 2
	endpointsPerService = 4
	slots               = 4
	processingTime      = 30 * time.Millisecond
	zones               = 3
)

// proxy supervises one proxy process, which reaches the store through a relay.
type proxy struct {
	name           string
	settingsFile   string
	linksFile      string // state of the links to the endpoints
	callerAddress  string
	readyAddress   string
	metricsAddress string
	store          *deployment.Relay // between the proxy and the store

	mu        sync.Mutex
	program   string      // started next
	excused   []interval  // during which the rule on rate limits does not bind the proxy
	process   *os.Process // nil while the process is not running
	closing   bool
	downUntil time.Time     // no restart before
	done      chan struct{} // closed when supervise returns
}

// scenario is one soak run: the proxies, a simulated deployment, and the random faults
// of one seed.
type scenario struct {
	seed       uint64
	random     *rand.Rand
	builds     builds
	out        string
	store      *deployment.Store
	executions *deployment.ExecutionLog
	ports      *portBlocks
	proxies    []*proxy
	faults     []fault // to choose from

	lateRequests sync.WaitGroup
	lateNumber   atomic.Uint64

	mu            sync.Mutex
	endpoints     []*relayedEndpoint
	configVersion int
	configuredAt  time.Time
	moveTarget    string // service of the route /move/
	configuration any    // the newest one
	backups       []*deployment.Backup
	restarts      int                    // of endpoints at their address
	retired       []*deployment.Endpoint // that others have replaced
	storeTrouble  []interval             // disturbances of the store and of ways to it
	notRun        map[string]int         // requests that may run once, by the status that states they were not run
	result        result
	tries         []try
	cuts          []linkCut
}

// relayedEndpoint is an endpoint behind a relay.
type relayedEndpoint struct {
	endpoint *deployment.Endpoint
	relay    *deployment.Relay
	service  string
	draining bool
	leaving  bool // says so in its responses only
}

func newScenario(seed uint64, b builds, out string, proxies int, faults []fault) (*scenario, error) {
	store, err := deployment.StartStore()
	if err != nil {
		return nil, err
	}
	s := &scenario{
		seed: seed, random: rand.New(rand.NewPCG(seed, 7)), builds: b,
		out: filepath.Join(out, fmt.Sprintf("seed-%d", seed)), store: store, executions: deployment.NewExecutionLog(),
		faults: faults, notRun: map[string]int{},
	}
	if err := os.RemoveAll(s.out); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.out, 0o755); err != nil {
		return nil, err
	}
	for k := range services {
		for range endpointsPerService {
			if err := s.addEndpoint(serviceName(k)); err != nil {
				return nil, err
			}
		}
	}
	s.configure(serviceName(0))
	if s.ports, err = reservePorts(proxies); err != nil {
		return nil, err
	}
	for i := range proxies {
		if err := s.addProxy(i, proxies); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func serviceName(k int) string { return fmt.Sprintf("service-%d", k) }

func (s *scenario) addEndpoint(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("i-%d-%d", s.seed, len(s.endpoints))
	e, err := deployment.StartEndpoint(id, service, "zone-0", slots, deployment.Behaviour{ProcessingTime: processingTime}, s.executions)
	if err != nil {
		return err
	}
	r, err := deployment.StartRelay(e.Address())
	if err != nil {
		return err
	}
	e.Register(s.store, r.Address(), "ready")
	s.endpoints = append(s.endpoints, &relayedEndpoint{endpoint: e, relay: r, service: service})
	return nil
}

// configure writes a new configuration version whose route /move/ leads to the target.
func (s *scenario) configure(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion += 1 + s.random.IntN(3)
	s.moveTarget, s.configuredAt = target, time.Now()
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_s": 3,
			"target_latency_s": 1, "priority": 1, "attempts": 2,
		}
	}
	s.configuration = map[string]any{
		"version": s.configVersion,
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
	}
	s.store.Put("config", "main", s.configuration, nil)
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

func (s *scenario) addProxy(i, proxies int) error {
	relay, err := deployment.StartRelay(s.store.Address())
	if err != nil {
		return err
	}
	address := s.ports.address
	p := &proxy{
		program: s.builds.first(), done: make(chan struct{}), name: fmt.Sprintf("proxy-%d", i), callerAddress: address(i, 0), readyAddress: address(i, 1), metricsAddress: address(i, 4), store: relay,
		settingsFile: filepath.Join(s.out, fmt.Sprintf("proxy-%d.toml", i)),
		linksFile:    filepath.Join(s.out, fmt.Sprintf("proxy-%d.links", i)),
	}
	settings := fmt.Sprintf(settingsFormat, p.name, i%zones, s.ports.port(i, 3), s.ports.port(i, 4),
		address((i+1)%proxies, 2), address((i+2)%proxies, 2), p.callerAddress, p.readyAddress, address(i, 2), relay.Address())
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o644); err != nil {
		return err
	}
	s.proxies = append(s.proxies, p)
	go p.supervise(s.out)
	return nil
}

// supervise restarts the process whenever it ends, as the platform does, until stop is
// called.
func (p *proxy) supervise(out string) {
	defer close(p.done)
	for {
		p.mu.Lock()
		closing := p.closing
		p.mu.Unlock()
		if closing {
			return
		}
		if err := p.run(out); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", p.name, "cannot start:", err)
		}
		time.Sleep(p.pauseBeforeRestart())
	}
}

func (p *proxy) pauseBeforeRestart() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return 0
	}
	return max(restartPause, time.Until(p.downUntil))
}

// run starts the process, with its output appended to a log file, and waits for its end.
func (p *proxy) run(out string) error {
	log, err := os.OpenFile(filepath.Join(out, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	program := p.program
	p.mu.Unlock()
	command := exec.Command(program, "edge")
	command.Env = append(os.Environ(), "CARAWAYHOLD_NODE_FILE="+p.settingsFile, deployment.LinksFile+"="+p.linksFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.process = command.Process
	p.mu.Unlock()
	p.endExcuse()
	// Faults kill the process, so its exit status is expected to be an error.
	_ = command.Wait()
	p.mu.Lock()
	p.process = nil
	p.mu.Unlock()
	return nil
}

// signal sends a signal to the process if it is running.
func (p *proxy) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		_ = p.process.Signal(s)
	}
}

// restart stops the process as planned work does; it starts again after its end. It reports whether
// the process was running.
func (p *proxy) restart() bool {
	p.mu.Lock()
	process := p.process
	p.mu.Unlock()
	if process == nil {
		return false
	}
	p.beginExcuse()
	_ = process.Signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() { _ = process.Kill() })
	return true
}

// stop terminates the process without a restart, and kills it after stopTimeout.
func (p *proxy) stop() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

func (p *proxy) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Get("http://" + p.readyAddress + readyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops all processes and listeners of the scenario.
func (s *scenario) close() {
	var group sync.WaitGroup
	for _, p := range s.proxies {
		group.Go(func() {
			p.stop()
			p.store.Close()
		})
	}
	group.Wait()
	for _, e := range s.endpoints {
		e.relay.Close()
		e.endpoint.Close()
	}
	s.store.Close()
	s.ports.close()
}
