package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Stored is a service together with the name of the platform object that holds it.
type Stored struct {
	Document string
	Service  Service
}

// Base is the configuration on which a plan is computed.
type Base struct {
	Revision int64
	Services map[string]Stored
}

// Plan is the consequence of a document on a base. It is not stored; the
// operator sends it back to confirm it.
type Plan struct {
	BaseRevision int64 `json:"baseRevision"`
	// Versions holds for each service that the document names the object that
	// described it at the base revision; empty for a service that did not exist.
	Versions   map[string]string `json:"versions"`
	Document   Document          `json:"document"`
	Difference Difference        `json:"difference"`
	Warnings   []Warning         `json:"warnings"`
	// Digest covers the other fields that decide what is applied.
	Digest string `json:"digest"`
}

// NewPlan computes the plan of a valid document. The error is of type Mistakes
// and lists conflicts with services that the document does not name, and
// removals of services that do not exist.
func NewPlan(base Base, document Document) (Plan, error) {
	if err := checkAgainst(base, document); err != nil {
		return Plan{}, err
	}
	document = document.normalised()
	plan := Plan{BaseRevision: base.Revision, Versions: map[string]string{}, Document: document}
	var before []Service
	for _, name := range document.Names() {
		stored, exists := base.Services[name]
		plan.Versions[name] = stored.Document
		if exists {
			before = append(before, stored.Service)
		}
	}
	plan.Difference = Diff(before, document.Services)
	plan.Warnings = Warnings(before, document.Services)
	plan.Digest = plan.computeDigest()
	return plan, nil
}

// Intact reports whether the plan still has the digest it was computed with.
func (p Plan) Intact() bool { return p.Digest == p.computeDigest() }

// computeDigest covers what the operator has seen, so that an edited plan is
// not taken for the confirmed one.
func (p Plan) computeDigest() string {
	p.Digest = ""
	p.Document = p.Document.normalised()
	// Decoding an empty JSON list gives an empty slice where NewPlan has nil.
	if len(p.Difference) == 0 {
		p.Difference = nil
	}
	if len(p.Warnings) == 0 {
		p.Warnings = nil
	}
	content, err := json.Marshal(p)
	if err != nil {
		panic(err) // the plan holds only strings and numbers
	}
	return Digest(content)
}

// Names returns the sorted names of the services that the document sets or removes.
func (d Document) Names() []string {
	names := append([]string{}, d.Remove...)
	for _, s := range d.Services {
		names = append(names, s.Name)
	}
	sort.Strings(names)
	return names
}

func (d Document) normalised() Document {
	services := make([]Service, 0, len(d.Services))
	for _, s := range d.Services {
		services = append(services, s.normalised())
	}
	sort.SliceStable(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return Document{Services: services, Remove: sortedCopy(d.Remove)}
}

func checkAgainst(base Base, document Document) error {
	var mistakes Mistakes
	named := map[string]bool{}
	for _, name := range document.Names() {
		named[name] = true
	}
	for i, name := range document.Remove {
		if _, exists := base.Services[name]; !exists {
			mistakes.add(fmt.Sprintf("remove[%d]", i), "the name of an existing service", "there is no service %s", quote(name))
		}
	}
	for i, s := range document.Services {
		// With another number of partitions the records of earlier work would not
		// be found, and the work could run a second time.
		if stored, exists := base.Services[s.Name]; exists && stored.Service.Partitions() != s.Partitions() {
			mistakes.add(fmt.Sprintf("services[%d].oncePartitions", i), fmt.Sprint(stored.Service.Partitions()),
				"the number of partitions of an existing service cannot change")
		}
	}
	var others []Service
	for name, stored := range base.Services {
		if !named[name] {
			others = append(others, stored.Service)
		}
	}
	mistakes = append(mistakes, document.routeConflicts(others)...)
	return mistakes.inOrder().asError()
}

// ConflictsWith reports whether the document and the services have a route in
// common.
func (d Document) ConflictsWith(others []Service) bool { return len(d.routeConflicts(others)) > 0 }

func (d Document) routeConflicts(others []Service) Mistakes {
	owners := map[routeKey]string{}
	for _, o := range others {
		for _, r := range o.Routes {
			for _, k := range r.keys() {
				owners[k] = "a route of service " + o.Name
			}
		}
	}
	var mistakes Mistakes
	for i, s := range d.Services {
		checkRouteKeys(s, fmt.Sprintf("services[%d]", i), owners, &mistakes)
	}
	return mistakes
}
