// Package loadplan defines the plan that the load tool follows.
package loadplan

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

// ErrPlan means that a plan cannot be followed.
var ErrPlan = eris.New("bad load plan")

// Target is one proxy as the platform's balancer knows it.
type Target struct {
	Name   string `json:"name"`
	Caller string `json:"caller"` // IP address and port for callers
	Admin  string `json:"admin"`  // IP address and port of the readiness check
}

// Flow is one kind of request sent at a fixed rate.
type Flow struct {
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

// Plan is what the load tool does. Zero fields other than Targets, Flows and
// Seconds take a default when the plan is read.
type Plan struct {
	Targets           []Target `json:"targets"`
	Flows             []Flow   `json:"flows"`
	Seconds           float64  `json:"seconds"`
	BalancerLagMillis int64    `json:"balancerLagMillis,omitempty"`
	ReadyMillis       int64    `json:"readyMillis,omitempty"`
	Resubmissions     int      `json:"resubmissions,omitempty"`
}

// Read returns the plan in the file. The error is ErrPlan if it cannot be followed.
func Read(path string) (Plan, error) {
	p := Plan{
		BalancerLagMillis: defaultBalancerLagMillis,
		ReadyMillis:       defaultReadyMillis,
		Resubmissions:     defaultResubmissions,
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return p, eris.Wrap(err, "cannot read the load plan")
	}
	if err := json.Unmarshal(content, &p); err != nil {
		return p, eris.Wrapf(ErrPlan, "%s: %v", path, err)
	}
	return p, eris.Wrap(p.check(), path)
}

func (p Plan) check() error {
	if len(p.Targets) == 0 || len(p.Flows) == 0 || p.Seconds <= 0 {
		return eris.Wrap(ErrPlan, "targets, flows and a positive number of seconds are needed")
	}
	for _, f := range p.Flows {
		if f.Rate <= 0 || f.DeadlineMillis <= 0 {
			return eris.Wrapf(ErrPlan, "flow %q: rate and deadlineMillis must be positive", f.Name)
		}
	}
	return nil
}

// BalancerLag returns the time between two readiness checks.
func (p Plan) BalancerLag() time.Duration {
	return time.Duration(p.BalancerLagMillis) * time.Millisecond
}

// ReadyTimeout returns how long the load tool waits for all targets.
func (p Plan) ReadyTimeout() time.Duration {
	return time.Duration(p.ReadyMillis) * time.Millisecond
}
