package config

import "fmt"

// Warning points out a valid change that is often a mistake.
type Warning struct {
	Service string `json:"service"`
	Text    string `json:"text"`
}

// String returns the warning on one line.
func (w Warning) String() string { return w.Service + ": " + w.Text }

// Warnings examines the change from before to after. Services in before that
// are missing in after are removals.
func Warnings(before, after []Service) []Warning {
	old := byName(before)
	fresh := byName(after)
	var warnings []Warning
	for _, name := range unionOfNames(old, fresh) {
		b, had := old[name]
		a, has := fresh[name]
		var texts []string
		switch {
		case had && !has:
			texts = removalWarnings(b)
		case had:
			texts = append(stateWarnings(a), changeWarnings(b, a)...)
		default:
			texts = stateWarnings(a)
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

func stateWarnings(s Service) []string {
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
	kept := map[string]bool{}
	for _, e := range before.Endpoints {
		kept[e.Address] = true
	}
	stay := 0
	for _, e := range after.Endpoints {
		if kept[e.Address] {
			stay++
		}
	}
	if stay < before.Floor && len(before.Endpoints) > stay {
		texts = append(texts, fmt.Sprintf(
			"only %d of %d endpoints stay, below the present floor of %d; add new endpoints first and remove old ones later",
			stay, len(before.Endpoints), before.Floor))
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
