package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	loadPeriod = 500 * time.Millisecond
	// loadValidity is the lifetime of a load report; a single lost report does
	// not expire its predecessor.
	loadValidity = 1250 * time.Millisecond
	// shedDecay is applied to the counts of the shed ratio at each period, so
	// that the ratio covers about 5 s.
	shedDecay = 0.9
)

// loadReport is the payload of load.report. A proxy sends its own attempts in
// flight to the first evaluator of the service, which replies with those of
// all other proxies.
type loadReport struct {
	Service  string         `msgpack:"s"`
	InFlight map[string]int `msgpack:"i"`
	// Others is set in the reply of the evaluator.
	Others bool `msgpack:"o"`
	// ShedRatio is the ratio of attempts that endpoints shed. Only replies
	// carry it.
	ShedRatio float64 `msgpack:"h"`
}

// reportedLoad is the latest report of one proxy.
type reportedLoad struct {
	inFlight map[string]int
	until    time.Time
}

// loadTable holds the reports for the services of which this proxy is the
// first evaluator, by service and reporting address. It is safe for
// concurrent use.
type loadTable struct {
	mu       sync.Mutex
	services map[string]map[string]reportedLoad
}

func newLoadTable() *loadTable {
	return &loadTable{services: map[string]map[string]reportedLoad{}}
}

func (t *loadTable) record(service, address string, inFlight map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service] == nil {
		t.services[service] = map[string]reportedLoad{}
	}
	t.services[service][address] = reportedLoad{inFlight: inFlight, until: now.Add(loadValidity)}
}

// others returns, for each service and reporting address, the attempts in flight
// of all other reporters. Expired reports are dropped.
func (t *loadTable) others(now time.Time) map[string]map[string]map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]map[string]map[string]int{}
	for service, reports := range t.services {
		maps.DeleteFunc(reports, func(_ string, r reportedLoad) bool { return !now.Before(r.until) })
		if len(reports) == 0 {
			delete(t.services, service)
			continue
		}
		all[service] = subtractOwn(reports)
	}
	return all
}

func subtractOwn(reports map[string]reportedLoad) map[string]map[string]int {
	total := map[string]int{}
	for _, r := range reports {
		for endpoint, n := range r.inFlight {
			total[endpoint] += n
		}
	}
	others := map[string]map[string]int{}
	for address, r := range reports {
		rest := map[string]int{}
		for endpoint, n := range total {
			rest[endpoint] = n - r.inFlight[endpoint]
		}
		others[address] = rest
	}
	return others
}

// loadLoop exchanges the attempts in flight with the other proxies. A service
// is reported while it has attempts in flight, and once more after that to
// report none.
func (c *Control) loadLoop(ctx context.Context) error {
	reported := map[string]bool{}
	return every(ctx, loadPeriod, nil, func(context.Context) {
		now := time.Now()
		current := c.datapath.InFlight()
		for service := range reported {
			if _, busy := current[service]; !busy {
				current[service] = nil
				delete(reported, service)
			}
		}
		for service, inFlight := range current {
			if len(inFlight) > 0 {
				reported[service] = true
			}
			c.reportLoad(loadReport{Service: service, InFlight: inFlight}, now)
		}
		c.sendOthersLoads(now)
	})
}

func (c *Control) reportLoad(report loadReport, now time.Time) {
	evaluators := c.members.ranked(report.Service, evaluatorsPerService)
	if len(evaluators) == 0 {
		return
	}
	if evaluators[0].Incarnation() == c.self.Incarnation() {
		c.loads.record(report.Service, c.self.Address(), report.InFlight, now)
		return
	}
	c.sendLoad(evaluators[0].Address(), report)
}

// sendOthersLoads sends each reporter what the other proxies have in flight.
func (c *Control) sendOthersLoads(now time.Time) {
	for service, replies := range c.loads.others(now) {
		ratio := c.evidence.shedRatio(service)
		for address, others := range replies {
			reply := loadReport{Service: service, InFlight: others, Others: true, ShedRatio: ratio}
			if address == c.self.Address() {
				c.applyOthersLoad(reply, now)
				continue
			}
			c.sendLoad(address, reply)
		}
	}
}

func (c *Control) sendLoad(address string, report loadReport) {
	payload, err := peer.Encode(report)
	if err != nil {
		c.logger.Error("peer: cannot encode a load report", zap.Error(err))
		return
	}
	// The next report makes up for a lost one.
	_ = c.transport.Send(address, peer.TopicLoadReport, payload)
}

func (c *Control) receiveLoad(from string, payload []byte) {
	var report loadReport
	if err := peer.Decode(payload, &report); err != nil {
		c.logger.Warn("peer: load report is malformed", zap.Error(err))
		return
	}
	now := time.Now()
	if report.Others {
		c.applyOthersLoad(report, now)
		return
	}
	if c.members.isFirstEvaluator(report.Service) {
		c.loads.record(report.Service, from, report.InFlight, now)
	}
}

// applyOthersLoad passes the load of the other proxies to the request path.
func (c *Control) applyOthersLoad(report loadReport, now time.Time) {
	until := now.Add(loadValidity)
	c.datapath.SetOthersLoad(report.Service, report.InFlight, report.ShedRatio, until)
}

// isFirstEvaluator reports whether this proxy is the first evaluator of a
// service.
func (m *members) isFirstEvaluator(service string) bool {
	list := m.ranked(service, evaluatorsPerService)
	return len(list) > 0 && sameMember(list[0], m.self())
}

func sameMember(a, b membership.Member) bool { return a.Incarnation() == b.Incarnation() }
