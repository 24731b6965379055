package outlier

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// ProbeInterval is the time between two probes of an ejected endpoint by
	// the whole fleet. A probe takes about 25 ms.
	ProbeInterval = time.Second
	// baseRequiredProbes is the number of consecutive successful probes required
	// after the first ejection, and maxRequiredProbes bounds its doubling. With
	// 20, an endpoint that fails 1 request in 10 passes with a probability of 12%.
	baseRequiredProbes = 20
	maxRequiredProbes  = 160
	// minProbeZones is the number of zones that must have probed successfully.
	minProbeZones = 2
)

// RequiredProbes returns the number of consecutive successful probes that end an
// ejection. It doubles with each earlier ejection, up to 160, so that a flapping
// endpoint spends less and less time in service.
func RequiredProbes(earlierEjections int) int {
	required := baseRequiredProbes
	for range earlierEjections {
		required *= 2
		if required >= maxRequiredProbes {
			return maxRequiredProbes
		}
	}
	return required
}

// probeStreak counts consecutive successful probes and the zones they came from.
type probeStreak struct {
	successes int
	zones     map[string]bool
}

// add adds the probes of one report. A failed probe also discards the successes
// of the same report, because their order is unknown.
func (t *probeStreak) add(zone string, c Counts) {
	if c.ProbesFailed > 0 {
		*t = probeStreak{}
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

func (t *probeStreak) sufficient(required, zones int) bool {
	return t.successes >= required && len(t.zones) >= min(minProbeZones, zones)
}

// Prober is a proxy that can probe ejected endpoints.
type Prober struct {
	Name string
	Zone string
}

// ProbeDue reports whether the proxy self has to probe the endpoint in the
// ProbeInterval that contains now, a wall-clock time. Successive intervals are
// assigned to different zones, and within a zone to different proxies. Clock
// differences between proxies only duplicate or skip a probe.
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
