package overload

import "time"

// kind is a kind of request to the service.
type kind struct {
	name string
	// rate is the number of requests per second that fills the slots of one endpoint.
	rate      float64
	work      time.Duration // mean service time
	logStdDev float64       // standard deviation of the logarithm of the service time
	aim       time.Duration // until which a response has its full worth
	budget    time.Duration // after which the caller is gone
	// worth and lateWorth are those of a response in the aim and after it.
	worth      float64
	lateWorth  float64
	repeatable bool
	priority   int // 0 is the most urgent
}

// disturbance changes a share of the endpoints for a time.
type disturbance struct {
	from, to time.Duration
	share    float64 // of the endpoints
	slowdown float64 // factor of the service times, 0 for none
	sheds    float64 // share of the requests that are rejected unrun, slots or not
	gone     bool    // the endpoints are not registered
	load     float64 // factor of the load, 0 for none
}

// Scenario is a load with the failures of the endpoints that it meets. The endpoints have bad
// spells, of several seconds, in which they fail most requests at once.
type Scenario struct {
	name         string
	endpoints    int
	slots        int
	length       time.Duration
	kinds        []kind
	spellShare   float64 // of the time
	spellLength  time.Duration
	spellErrors  float64 // share of the requests that fail in a spell
	hangs        bool    // requests that fail do so at their deadline, not at once
	disturbances []disturbance
}

// Name returns the name of the scenario.
func (s *Scenario) Name() string { return s.name }

func once() kind {
	return kind{
		name: "once", rate: 12.9, work: 310 * time.Millisecond, logStdDev: 0.7, aim: 1200 * time.Millisecond,
		budget: 3 * time.Second, worth: 2, lateWorth: 0.2, priority: 1,
	}
}

func lookup() kind {
	return kind{
		name: "lookup", rate: 10, work: 400 * time.Millisecond, logStdDev: 0.5, aim: 1200 * time.Millisecond,
		budget: 2 * time.Second, worth: 1, lateWorth: 0.1, repeatable: true, priority: 2,
	}
}

func booking() kind {
	return kind{
		name: "booking", rate: 18.2, work: 220 * time.Millisecond, logStdDev: 0.7, aim: 800 * time.Millisecond,
		budget: 1500 * time.Millisecond, worth: 3, lateWorth: 0.3,
	}
}

func check() kind {
	return kind{
		name: "check", rate: 33.3, work: 120 * time.Millisecond, logStdDev: 0.3, aim: 500 * time.Millisecond,
		budget: 1200 * time.Millisecond, worth: 2, lateWorth: 0.2, repeatable: true, priority: 1,
	}
}

func service(name string, endpoints int, kinds []kind, disturbances ...disturbance) *Scenario {
	return &Scenario{
		name: name, endpoints: endpoints, slots: 4, length: 40 * time.Second, kinds: kinds, spellShare: 0.2,
		spellLength: 6 * time.Second, spellErrors: 0.85, disturbances: disturbances,
	}
}

// Scenarios returns the loads of the worst days of the deployments. A load of 1 fills all slots
// of endpoints that never fail.
func Scenarios() []*Scenario {
	return []*Scenario{
		service("reservations", 13, []kind{once()}),
		service("lookups", 13, []kind{lookup()}),
		service("mixed", 13, []kind{halved(booking()), halved(check())}),
		service("burst", 13, []kind{once()}, disturbance{from: 15 * time.Second, to: 18 * time.Second, load: 1.7}),
		service("shed", 13, []kind{once()}, disturbance{from: 13 * time.Second, to: 22 * time.Second, share: 1, sheds: 0.45}),
		service("slow", 13, []kind{halved(once()), halved(lookup())}, disturbance{from: 10 * time.Second, to: 18 * time.Second, share: 0.2, slowdown: 8}),
		service("gone", 13, []kind{once()}, disturbance{from: 15 * time.Second, to: 22 * time.Second, share: 0.35, gone: true}),
		hanging(service("hang", 13, []kind{lookup()})),
		service("large", 130, []kind{once()}, disturbance{from: 13 * time.Second, to: 22 * time.Second, share: 1, sheds: 0.45}),
	}
}

func halved(k kind) kind {
	k.rate /= 2
	return k
}

func hanging(s *Scenario) *Scenario {
	s.hangs = true
	return s
}
