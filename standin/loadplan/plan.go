// Package loadplan defines the input file of the load generator.
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

// ErrInvalidPlan means that a plan is malformed or lacks a required field.
var ErrInvalidPlan = eris.New("invalid load plan")

// Target is one proxy that receives load.
type Target struct {
	Name   string `json:"name"`
	Caller string `json:"caller"` // IP address and port for requests of callers
	Admin  string `json:"admin"`  // IP address and port for readiness checks
}

// Flow is a stream of identical requests at a fixed rate.
type Flow struct {
	Name   string   `json:"name"`
	Method string   `json:"method"`
	Path   string   `json:"path"`
	Rate   float64  `json:"rate"` // requests per second
	Teams  []string `json:"teams"`
	// Keyed adds an idempotency key to every request and resubmits the request with
	// the same key while its outcome is unknown.
	Keyed          bool  `json:"keyed"`
	DeadlineMillis int64 `json:"deadlineMillis"`
	BodyBytes      int   `json:"bodyBytes"`
}

// Plan is the input of the load generator. [Read] sets defaults for the fields that a
// file omits; Targets, Flows and Seconds are required.
type Plan struct {
	Targets           []Target `json:"targets"`
	Flows             []Flow   `json:"flows"`
	Seconds           float64  `json:"seconds"`
	BalancerLagMillis int64    `json:"balancerLagMillis,omitempty"`
	ReadyMillis       int64    `json:"readyMillis,omitempty"`
	Resubmissions     int      `json:"resubmissions,omitempty"`
}

// Read reads and validates the plan in the file. The error is ErrInvalidPlan if the plan is
// malformed or lacks a required field.
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
		return p, eris.Wrapf(ErrInvalidPlan, "%s: %v", path, err)
	}
	return p, eris.Wrap(p.validate(), path)
}

func (p Plan) validate() error {
	if len(p.Targets) == 0 || len(p.Flows) == 0 || p.Seconds <= 0 {
		return eris.Wrap(ErrInvalidPlan, "targets, flows and a positive number of seconds are required")
	}
	for _, f := range p.Flows {
		if f.Rate <= 0 || f.DeadlineMillis <= 0 {
			return eris.Wrapf(ErrInvalidPlan, "flow %q: rate and deadlineMillis must be positive", f.Name)
		}
	}
	return nil
}

// BalancerLag returns the interval of readiness checks.
func (p Plan) BalancerLag() time.Duration {
	return time.Duration(p.BalancerLagMillis) * time.Millisecond
}

// ReadyTimeout returns how long the load generator waits until all targets are ready.
func (p Plan) ReadyTimeout() time.Duration {
	return time.Duration(p.ReadyMillis) * time.Millisecond
}
