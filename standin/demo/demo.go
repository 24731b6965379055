package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/standin/loadplan"
	"github.com/carawayhold/carawayhold/standin/timer"
)

const (
	grayService   = "depot"
	grayEndpoint  = 2 // zero-based index among the service's endpoints
	drainService  = "lager"
	drainEndpoint = 0
	stoppedProxy  = "entry-3"
	minProxies    = 5
	readyTimeout  = 20 * time.Second
	callTimeout   = 3 * time.Second
	balancerLag   = time.Second
)

type demoSettings struct {
	bin     string
	out     string
	proxies int
	seconds float64
}

type proxyAddresses struct {
	Name     string
	Caller   string
	Operator string
	Peer     string
	Admin    string
}

type demo struct {
	settings  demoSettings
	group     *processGroup
	ports     *addressPool
	platform  string
	endpoints map[string][]string
	addresses []proxyAddresses
	proxies   []*process
	relays    []*relay // one between each proxy and the platform
	drain     drainCheck
	client    *http.Client
}

func newDemo(settings demoSettings) (*demo, error) {
	if err := os.MkdirAll(settings.out, 0o755); err != nil {
		return nil, eris.Wrap(err, "cannot create the output directory")
	}
	return &demo{
		settings:  settings,
		group:     &processGroup{logs: settings.out},
		ports:     newAddressPool(),
		endpoints: map[string][]string{},
		client:    &http.Client{Timeout: callTimeout},
	}, nil
}

func runDemo(ctx context.Context, settings demoSettings) error {
	if settings.proxies < minProxies {
		return eris.Errorf("the faults need at least %d proxies", minProxies)
	}
	d, err := newDemo(settings)
	if err != nil {
		return err
	}
	defer d.stop()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"start the simulated platform", d.startPlatform},
		{"start the backend servers", d.startBackends},
		{"start the proxies", d.startProxies},
		{"confirm the configuration", d.confirmConfiguration},
		{"send load under faults", d.runLoad},
		{"show what operators see", d.printOperatorView},
		{"compare answers with runs", d.checkResults},
	}
	for _, s := range steps {
		fmt.Println("demo:", s.name)
		if err := s.run(ctx); err != nil {
			return eris.Wrap(err, s.name)
		}
	}
	return nil
}

func (d *demo) stop() {
	d.group.stop()
	for _, r := range d.relays {
		r.close()
	}
}

func (d *demo) programPath(name string) string {
	return filepath.Join(d.settings.bin, name)
}

func (d *demo) startPlatform(ctx context.Context) error {
	address, err := d.ports.take()
	if err != nil {
		return err
	}
	d.platform = "http://" + address
	if _, err := d.group.start("platformd", d.programPath("platformd"), "--listen", address); err != nil {
		return err
	}
	return d.waitForOK(ctx, d.platform+"/calls")
}

func (d *demo) startBackends(ctx context.Context) error {
	for _, s := range serviceSpecs {
		arguments := []string{"--service", s.name, "--slots", fmt.Sprint(s.slots), "--work", "8ms"}
		for i := range s.endpoints {
			address, err := d.ports.take()
			if err != nil {
				return err
			}
			d.endpoints[s.name] = append(d.endpoints[s.name], address)
			arguments = append(arguments, "--endpoint", endpointName(s.name, i)+"="+address)
		}
		if _, err := d.group.start("backendd-"+s.name, d.programPath("backendd"), arguments...); err != nil {
			return err
		}
	}
	for _, addresses := range d.endpoints {
		for _, address := range addresses {
			if err := d.waitForOK(ctx, "http://"+address+"/healthz"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demo) startProxies(context.Context) error {
	var seeds []string
	for i := range d.settings.proxies {
		a := proxyAddresses{Name: fmt.Sprintf("entry-%d", i+1)}
		for _, target := range []*string{&a.Caller, &a.Operator, &a.Peer, &a.Admin} {
			address, err := d.ports.take()
			if err != nil {
				return err
			}
			*target = address
		}
		d.addresses = append(d.addresses, a)
		seeds = append(seeds, a.Peer)
	}
	for i, a := range d.addresses {
		zone := zonesAtelier[i%len(zonesAtelier)]
		platform, err := d.startPlatformRelay()
		if err != nil {
			return err
		}
		path := filepath.Join(d.settings.out, a.Name+".json")
		if err := os.WriteFile(path, proxySettings(a, zone, platform, seeds), 0o644); err != nil {
			return eris.Wrap(err, "cannot write the settings of a proxy")
		}
		p, err := d.group.start(a.Name, d.programPath("carawayhold"), "-settings", path)
		if err != nil {
			return err
		}
		d.proxies = append(d.proxies, p)
	}
	return nil
}

// startPlatformRelay starts a relay between one proxy and the platform, and returns its URL.
func (d *demo) startPlatformRelay() (string, error) {
	address, err := d.ports.take()
	if err != nil {
		return "", err
	}
	r, err := startRelay(address, strings.TrimPrefix(d.platform, "http://"))
	if err != nil {
		return "", err
	}
	d.relays = append(d.relays, r)
	return "http://" + address, nil
}

func proxySettings(a proxyAddresses, zone, platform string, seeds []string) []byte {
	listen := func(address string) map[string]any { return map[string]any{"listen": address} }
	content, _ := json.MarshalIndent(map[string]any{
		"name": a.Name, "region": "breizh", "zone": zone,
		"caller": listen(a.Caller), "operator": listen(a.Operator), "admin": listen(a.Admin),
		"peer":     map[string]any{"listen": a.Peer, "seeds": seeds},
		"platform": map[string]any{"url": platform},
		"shutdown": map[string]any{"balancerLagMillis": 2 * balancerLag.Milliseconds(), "finishMillis": 10000},
		"log":      map[string]any{"level": "info"},
	}, "", "  ")
	return append([]byte("// Settings of one proxy of the demonstration.\n"), content...)
}

// confirmConfiguration plans and confirms the configuration of all services and waits until every
// proxy is ready.
func (d *demo) confirmConfiguration(ctx context.Context) error {
	var document config.Document
	for _, s := range serviceSpecs {
		document.Services = append(document.Services, s.service(d.endpoints[s.name]))
	}
	content, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return eris.Wrap(err, "cannot encode the services")
	}
	intent := filepath.Join(d.settings.out, "services.json")
	if err := os.WriteFile(intent, content, 0o644); err != nil {
		return eris.Wrap(err, "cannot write the services")
	}
	if err := d.planAndConfirm(ctx, intent); err != nil {
		return err
	}
	accepted := time.Now()
	for _, a := range d.addresses {
		if err := d.waitForOK(ctx, "http://"+a.Admin+"/ready"); err != nil {
			return err
		}
	}
	fmt.Printf("demo: in force on %d proxies after %.2f s\n", len(d.addresses), time.Since(accepted).Seconds())
	return nil
}

// planAndConfirm plans a change and confirms the plan, as an operator does.
func (d *demo) planAndConfirm(ctx context.Context, intent string) error {
	plan, err := d.runCarawayctl(ctx, "--output", "json", "plan", intent)
	if err != nil {
		return err
	}
	planned := filepath.Join(d.settings.out, "plan.json")
	if err := os.WriteFile(planned, plan, 0o644); err != nil {
		return eris.Wrap(err, "cannot write the plan")
	}
	answer, err := d.runCarawayctl(ctx, "--operator", "demo", "confirm", planned)
	fmt.Print(string(answer))
	return err
}

// printOperatorView prints the state of the service with the gray failure and the ejections
// in its audit trail.
func (d *demo) printOperatorView(ctx context.Context) error {
	for _, arguments := range [][]string{
		{"endpoints", grayService},
		{"audit", "--service", grayService, "--ejections"},
	} {
		answer, err := d.runCarawayctl(ctx, arguments...)
		if err != nil {
			return err
		}
		fmt.Print(string(answer))
	}
	return nil
}

// runCarawayctl runs carawayctl and retries it until it succeeds or readyTimeout has passed.
func (d *demo) runCarawayctl(ctx context.Context, arguments ...string) ([]byte, error) {
	var all []string
	for _, a := range d.addresses {
		all = append(all, "--server", "http://"+a.Operator)
	}
	all = append(all, arguments...)
	deadline := time.Now().Add(readyTimeout)
	for {
		command := exec.CommandContext(ctx, d.programPath("carawayctl"), all...)
		var stderr strings.Builder
		command.Stderr = &stderr
		answer, err := command.Output()
		if err == nil {
			return answer, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, eris.Wrapf(err, "carawayctl %s: %s", strings.Join(arguments, " "), stderr.String())
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runLoad runs the load generator and injects faults while it runs.
func (d *demo) runLoad(ctx context.Context) error {
	if err := d.writeLoadPlan(); err != nil {
		return err
	}
	loadgen, err := d.group.start("loadgen", d.programPath("loadgen"),
		"--plan", filepath.Join(d.settings.out, "load.json"), "--out", d.settings.out)
	if err != nil {
		return err
	}
	duration := time.Duration(d.settings.seconds * float64(time.Second))
	started := time.Now()
	faults := []struct {
		at     float64 // fraction of the duration of the load
		name   string
		inject func() error
	}{
		{0.15, "endpoint depot-3 answers half of its requests with the identifier of an earlier request", d.injectGrayFailure},
		{0.25, "proxy entry-2 is killed", d.killProxy},
		{0.35, "proxy entry-4 is frozen", d.signalProxy(3, syscall.SIGSTOP)},
		{0.45, "proxy entry-4 resumes", d.signalProxy(3, syscall.SIGCONT)},
		{0.50, "endpoint lager-1 starts to drain", d.drainEndpoint},
		{0.55, "proxy entry-3 shuts down gracefully", d.signalProxy(2, syscall.SIGTERM)},
		{0.60, "platform responses to proxy entry-5 are dropped", d.dropPlatformResponses(4, true)},
		{0.75, "platform responses to proxy entry-5 are delivered again", d.dropPlatformResponses(4, false)},
		{0.80, "the platform executes five writes without responding", d.loseWriteResponses},
		{0.85, "the platform is down", d.setPlatformDown(true)},
		{0.93, "the platform is available again", d.setPlatformDown(false)},
	}
	for _, f := range faults {
		timer.Wait(ctx, time.Until(started.Add(time.Duration(f.at*float64(duration)))))
		fmt.Printf("demo: %5.1f s: %s\n", time.Since(started).Seconds(), f.name)
		if err := f.inject(); err != nil {
			return err
		}
	}
	select {
	case <-loadgen.done:
	case <-time.After(time.Until(started.Add(duration)) + time.Minute):
		return eris.New("the load generator did not end in time")
	}
	text, err := os.ReadFile(filepath.Join(d.settings.out, "loadgen.log"))
	if err != nil {
		return eris.Wrap(err, "cannot read the output of the load generator")
	}
	fmt.Print(string(text))
	return nil
}

func (d *demo) injectGrayFailure() error {
	return d.post("http://"+d.endpoints[grayService][grayEndpoint]+"/control/fault", `{"mode":"foreign","share":0.5}`)
}

func (d *demo) killProxy() error { return d.signalProxy(1, syscall.SIGKILL)() }

func (d *demo) signalProxy(index int, s syscall.Signal) func() error {
	return func() error {
		d.proxies[index].signal(s)
		return nil
	}
}

func (d *demo) dropPlatformResponses(index int, drop bool) func() error {
	return func() error {
		d.relays[index].setDropResponses(drop)
		return nil
	}
}

func (d *demo) setPlatformDown(down bool) func() error {
	return func() error {
		return d.post(d.platform+"/faults", fmt.Sprintf(`{"down":%t}`, down))
	}
}

func (d *demo) drainEndpoint() error {
	address := d.endpoints[drainService][drainEndpoint]
	if err := d.post("http://"+address+"/control/drain", ""); err != nil {
		return err
	}
	d.drain.start(func() (int64, error) {
		report, err := d.fetchReport(address)
		return report.Arrivals, err
	})
	return nil
}

func (d *demo) loseWriteResponses() error {
	return d.post(d.platform+"/faults", `{"loseAnswers":5}`)
}

func (d *demo) writeLoadPlan() error {
	var targets []loadplan.Target
	for _, a := range d.addresses {
		targets = append(targets, loadplan.Target{Name: a.Name, Caller: a.Caller, Admin: a.Admin})
	}
	teams := []string{"hotel", "cafe", "fitters", "seamstresses", "parish"}
	flows := []loadplan.Flow{
		{Name: "katalog browsing", Method: "GET", Path: "/katalog/browse/stools", Rate: 120, Teams: teams, DeadlineMillis: 5000},
		{Name: "lager stock checks", Method: "GET", Path: "/lager/stock", Rate: 120, Teams: teams, DeadlineMillis: 1000},
		{Name: "lager reservations", Method: "POST", Path: "/lager/bookings/pallets", Rate: 20, Teams: teams, Keyed: true, DeadlineMillis: 3000, BodyBytes: 200},
		{Name: "spedition freight", Method: "POST", Path: "/spedition/bookings/freight", Rate: 10, Teams: teams, Keyed: true, DeadlineMillis: 3000, BodyBytes: 200},
		{Name: "patronnier browsing", Method: "GET", Path: "/patronnier/browse/garments", Rate: 80, Teams: teams, DeadlineMillis: 5000},
		{Name: "depot repair status", Method: "GET", Path: "/depot/status", Rate: 150, Teams: teams, DeadlineMillis: 1000},
		{Name: "depot drop-offs", Method: "POST", Path: "/depot/bookings/dropoffs", Rate: 20, Teams: teams, Keyed: true, DeadlineMillis: 3000, BodyBytes: 200},
		{Name: "atelier fittings", Method: "POST", Path: "/atelier/bookings/fittings", Rate: 10, Teams: teams, Keyed: true, DeadlineMillis: 3000, BodyBytes: 200},
	}
	content, err := json.MarshalIndent(loadplan.Plan{
		Targets: targets, Flows: flows, Seconds: d.settings.seconds,
		BalancerLagMillis: balancerLag.Milliseconds(),
	}, "", "  ")
	if err != nil {
		return eris.Wrap(err, "cannot encode the load plan")
	}
	path := filepath.Join(d.settings.out, "load.json")
	return eris.Wrap(os.WriteFile(path, content, 0o644), "cannot write the load plan")
}

func (d *demo) post(url, document string) error {
	response, err := d.client.Post(url, "application/json", strings.NewReader(document))
	if err != nil {
		return eris.Wrapf(err, "POST %s", url)
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return eris.Errorf("POST %s: status %d", url, response.StatusCode)
	}
	return nil
}

// waitForOK returns when the URL responds with status 200 and fails after readyTimeout.
func (d *demo) waitForOK(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		response, err := d.client.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		timer.Wait(ctx, 50*time.Millisecond)
	}
	return eris.Errorf("%s did not respond with status 200 within %s", url, readyTimeout)
}
