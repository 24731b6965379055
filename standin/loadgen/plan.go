package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultBalancerLagMillis = 1000
	defaultReadyMillis       = 15_000
	defaultResubmissions     = 4
)

// target is one proxy as the platform's balancer knows it.
type target struct {
	Name   string `json:"name"`
	Caller string `json:"caller"` // IP address and port for callers
	Admin  string `json:"admin"`  // IP address and port of the readiness check
}

// flow is one kind of request sent at a fixed rate.
type flow struct {
	Name   string   `json:"name"`
	Method string   `json:"method"`
	Path   string   `json:"path"`
	Rate   float64  `json:"rate"` // requests per second
	Teams  []string `json:"teams"`
	// Keyed gives every request an idempotency key and submits it again with
	// the same key when its outcome is not known.
	Keyed          bool  `json:"keyed"`
	DeadlineMillis int64 `json:"deadlineMillis"`
	BodyBytes      int   `json:"bodyBytes"`
}

// plan is what the load tool does.
type plan struct {
	Targets           []target `json:"targets"`
	Flows             []flow   `json:"flows"`
	Seconds           float64  `json:"seconds"`
	BalancerLagMillis int64    `json:"balancerLagMillis"`
	ReadyMillis       int64    `json:"readyMillis"`
	Resubmissions     int      `json:"resubmissions"`
}

func readPlan(path string) (plan, error) {
	p := plan{
		BalancerLagMillis: defaultBalancerLagMillis,
		ReadyMillis:       defaultReadyMillis,
		Resubmissions:     defaultResubmissions,
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return p, eris.Wrap(err, "cannot read the plan")
	}
	if err := json.Unmarshal(content, &p); err != nil {
		return p, eris.Wrapf(err, "%s", path)
	}
	if len(p.Targets) == 0 || len(p.Flows) == 0 || p.Seconds <= 0 {
		return p, eris.Errorf("%s: targets, flows and a positive number of seconds are needed", path)
	}
	for _, f := range p.Flows {
		if f.Rate <= 0 || f.DeadlineMillis <= 0 {
			return p, eris.Errorf("%s: flow %q: rate and deadlineMillis must be positive", path, f.Name)
		}
	}
	return p, nil
}

func (p plan) balancerLag() time.Duration {
	return time.Duration(p.BalancerLagMillis) * time.Millisecond
}

func (p plan) readyTimeout() time.Duration {
	return time.Duration(p.ReadyMillis) * time.Millisecond
}
