package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// StoredService is a service and the name of the platform object that contains it.
type StoredService struct {
	Document string
	Service  Service
}

// BaseConfiguration is the stored configuration on which a plan is computed.
type BaseConfiguration struct {
	Revision int64
	Services map[string]StoredService
}

// Plan describes what a document changes compared to a base. The server does not
// store it; the operator sends it back to confirm it.
type Plan struct {
	BaseRevision int64 `json:"baseRevision"`
	// Versions maps each service that the document names to the name of the object
	// that contained it at the base revision; empty for a service that did not exist.
	Versions   map[string]string `json:"versions"`
	Document   Document          `json:"document"`
	Difference Difference        `json:"difference"`
	Warnings   []Warning         `json:"warnings"`
	// Digest is computed from all other fields and detects an edited plan.
	Digest string `json:"digest"`
}

// NewPlan computes the plan of a valid document. The error is of type Mistakes and
// lists conflicts with the base: routes of services that the document does not name,
// removals of services that do not exist, and changed numbers of partitions.
func NewPlan(base BaseConfiguration, document Document) (Plan, error) {
	if err := checkAgainstBase(base, document); err != nil {
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

// DigestMatches reports whether the plan matches its digest.
func (p Plan) DigestMatches() bool { return p.Digest == p.computeDigest() }

// computeDigest includes everything that the operator was shown, so that an edited
// plan is not accepted as the one that the server computed.
func (p Plan) computeDigest() string {
	p.Digest = ""
	p.Document = p.Document.normalised()
	// Decoding an empty JSON list gives an empty slice, whereas NewPlan sets nil.
	if len(p.Difference) == 0 {
		p.Difference = nil
	}
	if len(p.Warnings) == 0 {
		p.Warnings = nil
	}
	content, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: strings, numbers and booleans always encode
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

func checkAgainstBase(base BaseConfiguration, document Document) error {
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
		// With another number of partitions, the at-most-once records of earlier
		// requests would not be found and a repeated request could run a second time.
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
	return mistakes.sortedAndLimited().errorOrNil()
}

// ConflictsWith reports whether a route of the document matches the same requests as
// a route of the services.
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
