package outlier

import "slices"

func sortedZones(probers []Prober) []string {
	var zones []string
	for _, p := range probers {
		zones = append(zones, p.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
