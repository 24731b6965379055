package config

import "fmt"

// Warning reports a valid change that is often a mistake.
type Warning struct {
	Service string `json:"service"`
	Text    string `json:"text"`
}

// String returns the warning on one line.
func (w Warning) String() string { return w.Service + ": " + w.Text }

// Warnings returns the warnings about the change from before to after. Services of
// before that are missing from after are removed by the change.
func Warnings(before, after []Service) []Warning {
	oldByName := byName(before)
	newByName := byName(after)
	var warnings []Warning
	for _, name := range unionOfNames(oldByName, newByName) {
		b, had := oldByName[name]
		a, has := newByName[name]
		var texts []string
		switch {
		case had && !has:
			texts = removalWarnings(b)
		case had:
			texts = append(serviceWarnings(a), changeWarnings(b, a)...)
		default:
			texts = serviceWarnings(a)
		}
		for _, text := range texts {
			warnings = append(warnings, Warning{Service: name, Text: text})
		}
	}
	return warnings
}

func removalWarnings(s Service) []string {
	if len(s.Routes) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("the removed service has %d routes; their callers will get 404", len(s.Routes))}
}

func serviceWarnings(s Service) []string {
	var texts []string
	if s.Floor == len(s.Endpoints) {
		texts = append(texts, fmt.Sprintf(
			"the floor equals the number of endpoints (%d); no endpoint can ever be ejected", s.Floor))
	}
	if s.Floor == 0 {
		texts = append(texts, "the floor is 0; every endpoint may be ejected at the same time")
	}
	if len(s.Routes) == 0 {
		texts = append(texts, "the service has no routes; no caller can reach it")
	}
	zones := map[string]bool{}
	for _, e := range s.Endpoints {
		zones[e.Zone] = true
	}
	if len(s.Endpoints) > 1 && len(zones) == 1 {
		texts = append(texts, "all endpoints are in one zone")
	}
	return texts
}

func changeWarnings(before, after Service) []string {
	var texts []string
	oldAddresses := map[string]bool{}
	for _, e := range before.Endpoints {
		oldAddresses[e.Address] = true
	}
	keptCount := 0
	for _, e := range after.Endpoints {
		if oldAddresses[e.Address] {
			keptCount++
		}
	}
	if keptCount < before.Floor && len(before.Endpoints) > keptCount {
		texts = append(texts, fmt.Sprintf(
			"only %d of %d endpoints stay, below the present floor of %d; add new endpoints first and remove old ones later",
			keptCount, len(before.Endpoints), before.Floor))
	}
	if after.Retention() < before.Retention() {
		texts = append(texts, fmt.Sprintf("the retention of at-most-once records drops from %s to %s; a request resubmitted later runs again",
			before.Retention(), after.Retention()))
	}
	for _, c := range after.Classes {
		if old, had := before.Class(c.Name); had && !old.Repeatable() && c.Repeatable() {
			texts = append(texts, fmt.Sprintf("requests of class %s may now run more than once", c.Name))
		}
	}
	if len(after.Routes) == 0 && len(before.Routes) > 0 {
		texts = append(texts, fmt.Sprintf("all %d routes are removed", len(before.Routes)))
	}
	return texts
}
