package ejection

// Pool is what a proxy knows about the capacity of a service: the configured
// endpoints and floor, and which endpoints are unavailable for other reasons.
type Pool struct {
	revision  int64
	floor     int
	endpoints map[string]bool
	absent    map[string]bool
}

// PoolOption adds to the knowledge about a pool.
type PoolOption func(*Pool)

// WithDraining marks endpoints that receive no new work because they drain.
func WithDraining(endpoints ...string) PoolOption {
	return func(p *Pool) { p.markAbsent(endpoints) }
}

// WithWarmingUp marks endpoints of a new generation that are still warming up.
func WithWarmingUp(endpoints ...string) PoolOption {
	return func(p *Pool) { p.markAbsent(endpoints) }
}

// NewPool describes a service's capacity. The revision is that of the service's
// own document, not of the configuration head: it is written into the ledger
// when it grows, and a change of another service must not cause that write.
func NewPool(revision int64, floor int, endpoints []string, opts ...PoolOption) Pool {
	p := Pool{
		revision:  revision,
		floor:     floor,
		endpoints: make(map[string]bool, len(endpoints)),
		absent:    make(map[string]bool),
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

// Floor returns the least number of endpoints that ejection must leave.
func (p Pool) Floor() int { return p.floor }

// Size returns the number of configured endpoints.
func (p Pool) Size() int { return len(p.endpoints) }

func (p Pool) markAbsent(endpoints []string) {
	for _, e := range endpoints {
		p.absent[e] = true
	}
}

// available reports whether the endpoint would receive work if it had no entry.
func (p Pool) available(endpoint string) bool {
	return p.endpoints[endpoint] && !p.absent[endpoint]
}

// remaining counts the endpoints that are left when those for which lost
// returns true are taken away too.
func (p Pool) remaining(lost func(endpoint string) bool) int {
	n := 0
	for e := range p.endpoints {
		if !p.absent[e] && !lost(e) {
			n++
		}
	}
	return n
}
