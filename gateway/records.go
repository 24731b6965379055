package gateway

import "time"

// Configuration is one version of what the operator wants.
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
	// Repeatable requests may run more than once.
	Repeatable bool
	// Attempts is the largest number of endpoints that one request is sent to.
	Attempts int
	// Priority is the rank of the requests, 0 the highest.
	Priority int
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which a response earns its full benefit.
	TargetLatency time.Duration
	Services      []WeightedService
}

// kind names the kind of the requests in metrics.
func (r *Route) kind() string {
	if r.Repeatable {
		return "repeatable"
	}
	return "once"
}

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints.
type Service struct {
	Name string
	// Connections bounds the connections to one endpoint from all proxies.
	Connections int
}

// Limits bound what a caller may send.
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
	// WarmAtMillis is the Unix time in milliseconds until which it is slow.
	WarmAtMillis int64
	// StartMillis is the Unix time in milliseconds of the start of the process.
	StartMillis int64
	// Draining is set when the endpoint drains, Deregistered when its entry was removed.
	Draining     bool
	Deregistered bool
	// Revision is the revision of the store at which this was so.
	Revision uint64
}

// Member is a proxy of the fleet.
type Member struct {
	Address string // of its peer listener
	Zone    string
	// CPUShare is the part of a processor core that the proxy has.
	CPUShare float64
	// LinkMbit is the rate of the proxy's network link in Mbit/s, or 0 if unknown.
	LinkMbit float64
}
