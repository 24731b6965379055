package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// arrival is a request with all that is decided before it is placed.
type arrival struct {
	at   time.Duration
	kind int
	work time.Duration
}

// spell is a time in which an endpoint fails most of its requests.
type spell struct{ from, to time.Duration }

// trace is one run of a scenario: the requests and the failures that every placement meets.
type trace struct {
	*Scenario
	arrivals []arrival
	spells   [][]spell // by endpoint
}

// tail is the time after the last arrival until which requests may end.
const tail = 5 * time.Second

func newTrace(s *Scenario, load float64, seed uint64) *trace {
	t := &trace{Scenario: s}
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range s.endpoints {
		t.spells = append(t.spells, nil)
		at := time.Duration(0)
		// A spell may have begun before the trace.
		bad := random.Float64() < s.spellShare
		for at < s.length+tail {
			mean := s.spellLength
			if !bad {
				mean = time.Duration(float64(s.spellLength) * (1 - s.spellShare) / s.spellShare)
			}
			end := at + time.Duration(float64(mean)*(0.5+random.Float64()))
			if bad {
				t.spells[i] = append(t.spells[i], spell{from: at, to: end})
			}
			at, bad = end, !bad
		}
	}
	for k, kind := range s.kinds {
		random := rand.New(rand.NewPCG(seed, uint64(2+k)))
		for at := time.Duration(0); ; {
			rate := kind.rate * float64(s.endpoints) * load * s.loadAt(at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.length {
				break
			}
			work := time.Duration(float64(kind.work) * math.Exp(kind.logStdDev*random.NormFloat64()-kind.logStdDev*kind.logStdDev/2))
			t.arrivals = append(t.arrivals, arrival{at: at, kind: k, work: work})
		}
	}
	return t
}

func (s *Scenario) loadAt(at time.Duration) float64 {
	factor := 1.0
	for _, d := range s.disturbances {
		if d.load > 0 && at >= d.from && at < d.to {
			factor *= d.load
		}
	}
	return factor
}

// condition is the state of an endpoint at a time.
type condition struct {
	gone     bool
	errors   float64 // share of the requests that fail at once
	sheds    float64 // share of the requests that are rejected unrun
	slowdown float64 // factor of the service times
}

func (t *trace) conditionAt(endpoint int, at time.Duration) condition {
	c := condition{slowdown: 1}
	for _, b := range t.spells[endpoint] {
		if at >= b.from && at < b.to {
			c.errors = t.spellErrors
		}
	}
	for _, d := range t.disturbances {
		if at < d.from || at >= d.to || float64(endpoint) >= d.share*float64(t.endpoints) {
			continue
		}
		c.gone = c.gone || d.gone
		c.sheds = max(c.sheds, d.sheds)
		if d.slowdown > 0 {
			c.slowdown *= d.slowdown
		}
	}
	return c
}

func endpointID(i int) string { return fmt.Sprintf("e%03d", i) }
