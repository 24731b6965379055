package outlier

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// ProbeInterval is the time between two probes of one ejected
	// endpoint by the whole fleet. A probe costs about 25 ms.
	ProbeInterval = time.Second
	// trialsBase and trialsLimit are the consecutive successful probes required
	// after the first ejection, and the most that doubling can require. With 20,
	// an endpoint that fails 1 request in 10 passes with a chance of 12%.
	trialsBase  = 20
	trialsLimit = 160
	// trialZones is the number of zones that must have had success.
	trialZones = 2
)

// RequiredProbes returns the consecutive successful probes required for a
// return. It doubles with each earlier ejection up to a limit, so that a
// flapping endpoint spends ever less time in service.
func RequiredProbes(earlierEjections int) int {
	required := trialsBase
	for range earlierEjections {
		required *= 2
		if required >= trialsLimit {
			return trialsLimit
		}
	}
	return required
}

// trial counts consecutive successes by zone.
type trial struct {
	successes int
	zones     map[string]bool
}

// add takes the trials of one report. A failure among them voids the successes
// of the same report, because their order is not known.
func (t *trial) add(zone string, c Counts) {
	if c.ProbesFailed > 0 {
		*t = trial{}
		return
	}
	if c.ProbesSucceeded == 0 {
		return
	}
	if t.zones == nil {
		t.zones = make(map[string]bool)
	}
	t.successes += int(c.ProbesSucceeded)
	t.zones[zone] = true
}

func (t *trial) enough(required, zones int) bool {
	return t.successes >= required && len(t.zones) >= min(trialZones, zones)
}

// Prober is a proxy that can send trial probes.
type Prober struct {
	Name string
	Zone string
}

// ProbeDue reports whether the proxy self is the one to probe the endpoint in
// the interval of now, a wall-clock time. Successive intervals go to different
// zones, and within a zone to different proxies. Clock differences between
// proxies only double or skip a probe.
func ProbeDue(self string, probers []Prober, service, endpoint string, now time.Time) bool {
	turn := now.UnixMilli() / ProbeInterval.Milliseconds()
	chosen, ok := proberAt(probers, service+"/"+endpoint, turn)
	return ok && chosen == self
}

func proberAt(probers []Prober, key string, turn int64) (string, bool) {
	zones := sortedZones(probers)
	if len(zones) == 0 {
		return "", false
	}
	offset := xxh3.HashString(key)
	zone := zones[(uint64(turn)+offset)%uint64(len(zones))]
	chosen, highest := "", uint64(0)
	for _, p := range probers {
		if p.Zone != zone {
			continue
		}
		weight := xxh3.HashStringSeed(p.Name+"/"+key, uint64(turn))
		if chosen == "" || weight > highest || (weight == highest && p.Name < chosen) {
			chosen, highest = p.Name, weight
		}
	}
	return chosen, true
}
