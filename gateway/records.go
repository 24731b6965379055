package gateway

import "time"

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Repeatable means that a request may run more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of endpoints that may run one request.
	MaxAttempts int
	// Priority orders waiting requests; 0 is the highest.
	Priority int
	// Timeout bounds the time from the arrival of a request to its response; 0 sets no
	// bound beyond the deadline of the caller.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value. Requests
	// are hedged at a share of it.
	TargetLatency time.Duration
	Services      []WeightedService
}

// metricKind returns the value of the kind label in metrics.
func (r *Route) metricKind() string {
	if r.Repeatable {
		return "repeatable"
	}
	return "once"
}

// WeightedService is a service of a route with its relative share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint over all proxies; 0 selects
	// a default.
	MaxConnections int
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Endpoint is the registration of an endpoint in the store.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// WarmAtMillis is the Unix time in milliseconds at which its warm-up ends.
	WarmAtMillis int64
	// StartMillis is the Unix time in milliseconds at which the process started.
	StartMillis int64
	// Draining is set when the endpoint accepts no new requests, Deregistered when its
	// entry was removed.
	Draining     bool
	Deregistered bool
	// Revision is the revision of the store that this state was read at.
	Revision Revision
}

// sameProcess reports whether both are states of one start of an endpoint, as far as known.
func (e *Endpoint) sameProcess(other *Endpoint) bool {
	return e.StartMillis == other.StartMillis && (e.StartMillis != 0 || e.Revision.Era() != other.Revision.Era())
}

// sameUse reports whether requests are placed on both states alike.
func (e *Endpoint) sameUse(other *Endpoint) bool {
	return e.Service == other.Service && e.Address == other.Address && e.Zone == other.Zone && e.Slots == other.Slots &&
		e.StartMillis == other.StartMillis && e.Draining == other.Draining && e.Deregistered == other.Deregistered
}

// Member is a proxy of the fleet.
type Member struct {
	Address string // of its peer listener
	Zone    string
	// CPUShare is the share of a processor core available to the proxy.
	CPUShare float64
	// LinkMbit is the rate of the proxy's network link in Mbit/s, or 0 if unknown.
	LinkMbit float64
}
