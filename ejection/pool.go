package ejection

// Pool describes the capacity of a service as known to one proxy: the configured
// endpoints and floor, and the endpoints that are unavailable for other reasons
// than ejection.
type Pool struct {
	revision    int64
	floor       int
	endpoints   map[string]bool
	unavailable map[string]bool
}

// PoolOption is an option of NewPool.
type PoolOption func(*Pool)

// WithDraining marks endpoints as unavailable because they are draining.
func WithDraining(endpoints ...string) PoolOption {
	return func(p *Pool) { p.markUnavailable(endpoints) }
}

// WithWarmingUp marks endpoints of a new generation as unavailable because they
// are still warming up.
func WithWarmingUp(endpoints ...string) PoolOption {
	return func(p *Pool) { p.markUnavailable(endpoints) }
}

// NewPool returns the pool of a service. The revision is that of the service's
// own document, not of the configuration head: a higher revision is written to
// the ledger, and a change of another service must not cause a write.
func NewPool(revision int64, floor int, endpoints []string, opts ...PoolOption) Pool {
	p := Pool{
		revision:    revision,
		floor:       floor,
		endpoints:   make(map[string]bool, len(endpoints)),
		unavailable: make(map[string]bool),
	}
	for _, e := range endpoints {
		p.endpoints[e] = true
	}
	for _, o := range opts {
		o(&p)
	}
	return p
}

// Revision returns the revision of the service's document.
func (p Pool) Revision() int64 { return p.revision }

// Floor returns the minimum number of endpoints that ejections must leave.
func (p Pool) Floor() int { return p.floor }

// Size returns the number of configured endpoints.
func (p Pool) Size() int { return len(p.endpoints) }

func (p Pool) markUnavailable(endpoints []string) {
	for _, e := range endpoints {
		p.unavailable[e] = true
	}
}

// available reports whether the endpoint could be picked if it had no entry.
func (p Pool) available(endpoint string) bool {
	return p.endpoints[endpoint] && !p.unavailable[endpoint]
}

// remaining returns the number of available endpoints for which excluded returns
// false.
func (p Pool) remaining(excluded func(endpoint string) bool) int {
	n := 0
	for e := range p.endpoints {
		if !p.unavailable[e] && !excluded(e) {
			n++
		}
	}
	return n
}
