// Package carawayhold is the facade over the decision libraries of the proxy
// fleet, for programs that embed them. It builds the parts of one service from
// the operator's description:
//
//   - admission queues, which decide whether a request waits, runs or is refused,
//   - the endpoint pool, which chooses an endpoint for each attempt,
//   - the latency baseline and the outlier tests, which detect gray failures,
//   - the view of the ejection ledger, which enforces the capacity floor.
//
// The parts do no I/O, start no goroutines and read no clock. The packages once,
// rollout and membership do not depend on a service description and are used
// directly.
package carawayhold

import (
	"math/rand/v2"

	"github.com/carawayhold/carawayhold/admission"
	"github.com/carawayhold/carawayhold/balance"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

// Service holds the decision parts of one service in one process. The parts are
// not safe for concurrent use unless their own documentation says so.
type Service struct {
	description  config.Service
	queues       *admission.Controller
	pool         *balance.Pool
	baseline     *outlier.LatencyBaseline
	localWeights *outlier.LocalWeights
	evaluator    *outlier.Evaluator
	ledger       *ejection.View
}

// New returns the parts of a service for a process in zone. The description
// must be valid.
func New(description config.Service, zone string, random *rand.Rand) *Service {
	return &Service{
		description:  description,
		queues:       NewQueues(description, random),
		pool:         balance.NewPool(zone, random, Endpoints(description.Endpoints)...),
		baseline:     outlier.NewLatencyBaseline(),
		localWeights: NewLocalWeights(description),
		evaluator:    NewEvaluator(description),
		ledger:       ejection.NewView(description.Name),
	}
}

// Queues returns the admission queues.
func (s *Service) Queues() *admission.Controller { return s.queues }

// Pool returns the endpoint pool.
func (s *Service) Pool() *balance.Pool { return s.pool }

// LatencyBaseline returns the latency baseline.
func (s *Service) LatencyBaseline() *outlier.LatencyBaseline { return s.baseline }

// LocalWeights returns the weights that this process reduces from its own counts
// alone.
func (s *Service) LocalWeights() *outlier.LocalWeights { return s.localWeights }

// Evaluator returns the outlier tests over the reports of all processes.
func (s *Service) Evaluator() *outlier.Evaluator { return s.evaluator }

// Ledger returns the view of the ejection ledger.
func (s *Service) Ledger() *ejection.View { return s.ledger }

// Capacity returns the endpoints and the floor against which an ejection is
// checked, as of a revision of the service's document.
func (s *Service) Capacity(revision int64, options ...ejection.PoolOption) ejection.Pool {
	return Capacity(s.description, revision, options...)
}

// NewQueues returns admission queues for the classes of a service.
func NewQueues(description config.Service, random *rand.Rand) *admission.Controller {
	classes := make([]admission.Class, len(description.Classes))
	for i, c := range description.Classes {
		classes[i] = admission.NewClass(c.Name, c.Priority, c.Deadline(), c.QueueLimit, classOptions(c)...)
	}
	percent := int(description.RetryBudget() * 100)
	return admission.New(random, classes, admission.WithRetryBudget(percent))
}

func classOptions(c config.Class) []admission.ClassOption {
	var options []admission.ClassOption
	if c.Repeatable() {
		options = append(options, admission.WithRepeatable())
	}
	if c.Hedge {
		options = append(options, admission.WithHedge())
	}
	return options
}

// Endpoints converts configured endpoints to endpoints of a pool.
func Endpoints(described []config.Endpoint) []balance.Endpoint {
	endpoints := make([]balance.Endpoint, len(described))
	for i, e := range described {
		endpoints[i] = balance.NewEndpoint(e.Name, e.Zone, e.Slots)
	}
	return endpoints
}

// NewLocalWeights returns the local weights of a service.
func NewLocalWeights(description config.Service) *outlier.LocalWeights {
	return outlier.NewLocalWeights(description.Weighting, outlier.WithWarmUp(description.WarmUp()))
}

// NewEvaluator returns the outlier tests of a service.
func NewEvaluator(description config.Service) *outlier.Evaluator {
	return outlier.NewEvaluator(description.Weighting, outlier.WithWarmUp(description.WarmUp()))
}

// Capacity returns the configured endpoints and the floor of a service, as of a
// revision of its document.
func Capacity(description config.Service, revision int64, options ...ejection.PoolOption) ejection.Pool {
	return ejection.NewPool(revision, description.Floor, EndpointNames(description), options...)
}

// EndpointNames returns the names of the endpoints of a service.
func EndpointNames(description config.Service) []string {
	names := make([]string, len(description.Endpoints))
	for i, e := range description.Endpoints {
		names[i] = e.Name
	}
	return names
}
