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
)

const (
	grayService  = "depot"
	grayEndpoint = 2 // index among the service's endpoints
	drainService = "lager"
	readyTimeout = 20 * time.Second
	callTimeout  = 3 * time.Second
	balancerLag  = time.Second
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
	client    *http.Client
}

func runDemo(ctx context.Context, settings demoSettings) error {
	if err := os.MkdirAll(settings.out, 0o755); err != nil {
		return eris.Wrap(err, "cannot create the output directory")
	}
	d := &demo{
		settings:  settings,
		group:     &processGroup{logs: settings.out},
		ports:     newAddressPool(),
		endpoints: map[string][]string{},
		client:    &http.Client{Timeout: callTimeout},
	}
	defer d.group.stop()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"start the platform stand-in", d.startPlatform},
		{"start the backend servers", d.startBackends},
		{"start the proxies", d.startProxies},
		{"confirm the configuration", d.confirm},
		{"send load under faults", d.load},
		{"compare answers with runs", d.check},
	}
	for _, s := range steps {
		fmt.Println("demo:", s.name)
		if err := s.run(ctx); err != nil {
			return eris.Wrap(err, s.name)
		}
	}
	return nil
}

func (d *demo) program(name string) string {
	return filepath.Join(d.settings.bin, name)
}

func (d *demo) startPlatform(ctx context.Context) error {
	address, err := d.ports.take()
	if err != nil {
		return err
	}
	d.platform = "http://" + address
	if _, err := d.group.start("platformd", d.program("platformd"), "--listen", address); err != nil {
		return err
	}
	return d.waitFor(ctx, d.platform+"/calls")
}

func (d *demo) startBackends(ctx context.Context) error {
	for _, s := range shapes {
		arguments := []string{"--service", s.name, "--slots", fmt.Sprint(s.slots), "--work", "8ms"}
		for i := range s.endpoints {
			address, err := d.ports.take()
			if err != nil {
				return err
			}
			d.endpoints[s.name] = append(d.endpoints[s.name], address)
			arguments = append(arguments, "--endpoint", endpointName(s.name, i)+"="+address)
		}
		if _, err := d.group.start("backendd-"+s.name, d.program("backendd"), arguments...); err != nil {
			return err
		}
	}
	for _, addresses := range d.endpoints {
		for _, address := range addresses {
			if err := d.waitFor(ctx, "http://"+address+"/healthz"); err != nil {
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
		path := filepath.Join(d.settings.out, a.Name+".json")
		if err := os.WriteFile(path, proxySettings(a, zone, d.platform, seeds), 0o644); err != nil {
			return eris.Wrap(err, "cannot write the settings of a proxy")
		}
		p, err := d.group.start(a.Name, d.program("carawayhold"), "-settings", path)
		if err != nil {
			return err
		}
		d.proxies = append(d.proxies, p)
	}
	return nil
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

// confirm plans and confirms the configuration of all services, as an operator would.
func (d *demo) confirm(ctx context.Context) error {
	var document config.Document
	for _, s := range shapes {
		document.Services = append(document.Services, s.service(d.endpoints[s.name]))
	}
	content, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return eris.Wrap(err, "cannot encode the services")
	}
	intent := filepath.Join(d.settings.out, "services.json")
	planned := filepath.Join(d.settings.out, "plan.json")
	if err := os.WriteFile(intent, content, 0o644); err != nil {
		return eris.Wrap(err, "cannot write the services")
	}
	plan, err := d.ctl(ctx, "--output", "json", "plan", intent)
	if err != nil {
		return err
	}
	if err := os.WriteFile(planned, plan, 0o644); err != nil {
		return eris.Wrap(err, "cannot write the plan")
	}
	accepted := time.Now()
	answer, err := d.ctl(ctx, "--operator", "demo", "confirm", planned)
	if err != nil {
		return err
	}
	fmt.Print(string(answer))
	for _, a := range d.addresses {
		if err := d.waitFor(ctx, "http://"+a.Admin+"/ready"); err != nil {
			return err
		}
	}
	fmt.Printf("demo: in force on %d proxies after %.2f s\n", len(d.addresses), time.Since(accepted).Seconds())
	return nil
}

// ctl runs carawayctl until the first proxy answers.
func (d *demo) ctl(ctx context.Context, arguments ...string) ([]byte, error) {
	var all []string
	for _, a := range d.addresses {
		all = append(all, "--server", "http://"+a.Operator)
	}
	all = append(all, arguments...)
	deadline := time.Now().Add(readyTimeout)
	for {
		command := exec.CommandContext(ctx, d.program("carawayctl"), all...)
		var problems strings.Builder
		command.Stderr = &problems
		answer, err := command.Output()
		if err == nil {
			return answer, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, eris.Wrapf(err, "carawayctl %s: %s", strings.Join(arguments, " "), problems.String())
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// load runs the load tool and causes the faults while it runs.
func (d *demo) load(ctx context.Context) error {
	if err := d.writeLoadPlan(); err != nil {
		return err
	}
	loadgen, err := d.group.start("loadgen", d.program("loadgen"),
		"--plan", filepath.Join(d.settings.out, "load.json"), "--out", d.settings.out)
	if err != nil {
		return err
	}
	length := time.Duration(d.settings.seconds * float64(time.Second))
	started := time.Now()
	faults := []struct {
		at    float64 // share of the load's length
		name  string
		cause func() error
	}{
		{0.20, "endpoint depot-3 answers half of its requests wrongly", d.makeGray},
		{0.35, "proxy entry-2 is killed", d.killProxy},
		{0.50, "endpoint lager-1 announces that it is leaving", d.drainEndpoint},
		{0.60, "proxy entry-3 is stopped as planned", d.stopProxy},
		{0.75, "the platform loses the answers of five writes", d.loseAnswers},
	}
	for _, f := range faults {
		wait(ctx, time.Until(started.Add(time.Duration(f.at*float64(length)))))
		fmt.Printf("demo: %5.1f s: %s\n", time.Since(started).Seconds(), f.name)
		if err := f.cause(); err != nil {
			return err
		}
	}
	select {
	case <-loadgen.done:
	case <-time.After(time.Until(started.Add(length)) + time.Minute):
		return eris.New("the load tool did not end in time")
	}
	text, err := os.ReadFile(filepath.Join(d.settings.out, "loadgen.log"))
	if err != nil {
		return eris.Wrap(err, "cannot read the output of the load tool")
	}
	fmt.Print(string(text))
	return nil
}

func (d *demo) makeGray() error {
	return d.post("http://"+d.endpoints[grayService][grayEndpoint]+"/control/fault", `{"mode":"foreign","share":0.5}`)
}

func (d *demo) killProxy() error {
	d.proxies[1].signal(syscall.SIGKILL)
	return nil
}

func (d *demo) stopProxy() error {
	d.proxies[2].signal(syscall.SIGTERM)
	return nil
}

func (d *demo) drainEndpoint() error {
	return d.post("http://"+d.endpoints[drainService][0]+"/control/drain", "")
}

func (d *demo) loseAnswers() error {
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

// waitFor returns when the URL answers with status 200.
func (d *demo) waitFor(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		response, err := d.client.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		wait(ctx, 50*time.Millisecond)
	}
	return eris.Errorf("%s did not answer within %s", url, readyTimeout)
}

func wait(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
