package detection

import (
	"fmt"

	"github.com/carawayhold/carawayhold/config"
)

const (
	proxyCount = 32
	zoneCount  = 3
)

// service is a simulated service of one user, with a modest request rate.
type service struct {
	name      string
	user      string
	endpoints int
	floor     int
	// rate is in requests per second over the whole fleet.
	rate float64
}

// The sizes are those of section 1.1 of the design page. The rates give each
// endpoint a few requests per second.
var services = []service{
	{"katalog", "hockerwerk", 8, 6, 80},
	{"lager", "hockerwerk", 13, 10, 60},
	{"spedition", "hockerwerk", 6, 5, 12},
	{"patronnier", "atelier", 7, 5, 40},
	{"depot", "atelier", 13, 10, 40},
	{"atelier", "atelier", 6, 5, 12},
}

func (s service) names() []string {
	names := make([]string, s.endpoints)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%02d", s.name, i)
	}
	return names
}

// mode is one of the compared decision methods.
type mode struct {
	name      string
	weighting config.Weighting
	baseline  bool
}

var modes = []mode{
	{name: "baseline", baseline: true},
	{name: "detection", weighting: config.WeightingDetection},
	{name: "balanced", weighting: config.WeightingBalanced},
	{name: "falseEjections", weighting: config.WeightingFalseEjections},
}
