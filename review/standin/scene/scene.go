// Package scene holds what the cases have in common: the stand-ins, the fleet, the record
// and the exit status.
package scene

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/client"
	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/fleet"
	"github.com/carawayhold/carawayhold/review/standin/record"
	"github.com/carawayhold/carawayhold/review/standin/store"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Host is the host of all routes.
const Host = "shop.example"

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// Scene is the stand-ins and the fleet of one run.
type Scene struct {
	Root    string
	Trouble bool
	Log     *record.Log
	Store   *store.Store
	Runs    *endpoint.Runs
	Fleet   *fleet.Fleet

	endpoints []*endpoint.Endpoint
	ids       atomic.Uint64
}

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	Attempts              int
	TimeoutS              float64
}

// Main runs a case and exits. The case reports whether the rule was broken.
func Main(run func(s *Scene) (broken bool, err error)) {
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(status(*root, *path, run))
}

func status(root, path string, run func(s *Scene) (bool, error)) int {
	log, err := record.Open(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.Close()
	s := &Scene{Root: root, Trouble: os.Getenv("TROUBLE") != "0", Log: log, Runs: &endpoint.Runs{}}
	if s.Store, err = store.Start(); err != nil {
		log.Result("cannot run: %v", err)
		return exitFailed
	}
	defer s.close()
	log.Printf("trouble: %v", s.Trouble)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := run(s)
		ended <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-ended:
	case <-time.After(timeLimit):
		o.err = errors.New("the time limit has passed")
	case <-stop:
		o.err = errors.New("stopped by a signal")
	}
	for _, r := range s.Runs.All() {
		log.Printf("request %s ran at endpoint %s at %.3f", r.ID, r.Endpoint, log.At(r.At))
	}
	switch {
	case o.err != nil:
		log.Result("cannot run: %v", o.err)
		return exitFailed
	case o.broken:
		log.Result("the rule was broken")
		return exitBroken
	}
	log.Result("the rule held")
	return exitHeld
}

func (s *Scene) close() {
	if s.Fleet != nil {
		s.Fleet.Close()
	}
	for _, e := range s.endpoints {
		e.Close()
	}
	s.Store.Close()
}

// Configure publishes a version of the configuration.
func (s *Scene) Configure(version int, routes ...Route) {
	list := []map[string]any{}
	names := map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": Host, "path_prefix": r.Prefix, "kind": r.Kind, "service": r.Service,
			"timeout_s": r.TimeoutS, "target_latency_s": 0.8, "priority": 1, "attempts": r.Attempts,
		})
		names[r.Service] = true
	}
	services := []map[string]any{}
	for name := range names {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
		})
	}
	s.Store.Put("config", "main", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	s.Log.Printf("operator: version %d confirmed", version)
}

// Endpoint starts an endpoint and registers it.
func (s *Scene) Endpoint(id, service, zone string, slots int, h endpoint.Handler) (*endpoint.Endpoint, error) {
	e, err := endpoint.Start(id, service, zone, slots, s.Runs, h)
	if err != nil {
		return nil, err
	}
	s.Adopt(e)
	return e, nil
}

// Adopt registers an endpoint that was started elsewhere.
func (s *Scene) Adopt(e *endpoint.Endpoint) {
	s.endpoints = append(s.endpoints, e)
	e.Register(s.Store, "ready")
	s.Log.Printf("endpoint %s of %s: registered at %s", e.ID, e.Service, e.Address())
}

// StartFleet starts the machines and waits until they are ready and their hubs are
// settled.
func (s *Scene) StartFleet(machines, descriptors int) error {
	f, err := fleet.New(fleet.Options{
		Root: s.Root, Machines: machines, Store: s.Store.Address(), Log: s.Log, Descriptors: descriptors,
	})
	if err != nil {
		return err
	}
	s.Fleet = f
	if err := f.Start(); err != nil {
		return err
	}
	if err := f.AwaitReady(); err != nil {
		return err
	}
	s.Log.Printf("all machines are ready")
	time.Sleep(3 * time.Second)
	return nil
}

// ID returns a new identifier of a client attempt.
func (s *Scene) ID() string { return fmt.Sprintf("%016x", s.ids.Add(1)) }

// Call sends one request on a new connection.
func (s *Scene) Call(front, method, path, id string, budget time.Duration, body string) client.Answer {
	c, err := client.Dial(front)
	if err != nil {
		return client.Answer{Err: err}
	}
	defer c.Close()
	return c.Call(method, Host, path, id, budget, body)
}
