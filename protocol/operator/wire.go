package operator

import (
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/rollout"
)

// Confirmation asks for a plan to be applied.
type Confirmation struct {
	// Operation identifies the change. A confirmation repeated with the same
	// operation and plan is applied at most once.
	Operation string      `json:"operation"`
	Operator  string      `json:"operator"`
	Plan      config.Plan `json:"plan"`
}

// Confirmed is the result of an accepted confirmation.
type Confirmed struct {
	// Revision is the head revision that holds the change.
	Revision  int64  `json:"revision"`
	Operation string `json:"operation"`
	// Changed is false if the configuration already was as planned; the head and
	// the audit trail are then left alone.
	Changed bool `json:"changed"`
	// Repeated is true if an earlier submission of the operation was accepted.
	Repeated bool `json:"repeated"`
}

// Status is the state of one proxy and what it knows of the others.
type Status struct {
	Proxy string `json:"proxy"`
	Zone  string `json:"zone"`
	// Revision is the configuration revision in force on this proxy.
	Revision int64 `json:"revision"`
	// KnownRevision is the greatest head revision this proxy has heard of.
	KnownRevision int64 `json:"knownRevision"`
	// ConfirmedAgeMillis is the age of the platform's last confirmation that this
	// proxy knows of, in milliseconds; negative if there was none.
	ConfirmedAgeMillis int64 `json:"confirmedAgeMillis"`
	Ready              bool  `json:"ready"`
	// Reason says why the proxy is not ready.
	Reason  string         `json:"reason,omitempty"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is what a proxy knows of another proxy.
type MemberStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	// Revision is the last revision that the member reported; 0 if unknown.
	Revision int64 `json:"revision"`
	// AgeMillis is the time since that report in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// EndpointState is how a proxy treats an endpoint.
type EndpointState string

// The states of endpoints.
const (
	// EndpointServing receives its full share of work.
	EndpointServing EndpointState = "serving"
	// EndpointEjected receives no work but trials.
	EndpointEjected EndpointState = "ejected"
	// EndpointReturning is in use again, but counts as lost for the floor.
	EndpointReturning EndpointState = "returning"
	// EndpointReduced receives a reduced share from this proxy.
	EndpointReduced EndpointState = "reduced"
	// EndpointLeaving receives no new work because it is about to stop.
	EndpointLeaving EndpointState = "leaving"
)

// EndpointStatus is one endpoint as a proxy sees it.
type EndpointStatus struct {
	Name     string        `json:"name"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	State    EndpointState `json:"state"`
	InFlight int           `json:"inFlight"`
	// Limit is the number of requests this proxy sends at the same time.
	Limit int `json:"limit"`
	// Weight is the share of work relative to a healthy endpoint, from 0 to 1.
	Weight float64 `json:"weight"`
	// Evidence lists what speaks against the endpoint.
	Evidence []Evidence `json:"evidence,omitempty"`
}

// Evidence is one kind of observation against an endpoint.
type Evidence struct {
	Kind      string  `json:"kind"`
	Count     int64   `json:"count"`
	Score     float64 `json:"score,omitempty"`
	Threshold float64 `json:"threshold,omitempty"`
	Detail    string  `json:"detail,omitempty"`
}

// ServiceEndpoints are the endpoints of one service as one proxy sees them.
type ServiceEndpoints struct {
	Service   string           `json:"service"`
	Proxy     string           `json:"proxy"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// ServiceSummary is one line of the list of services.
type ServiceSummary struct {
	Name      string           `json:"name"`
	Document  string           `json:"document"`
	Digest    string           `json:"digest"`
	Endpoints int              `json:"endpoints"`
	Routes    int              `json:"routes"`
	Classes   []string         `json:"classes"`
	Floor     int              `json:"floor"`
	Weighting config.Weighting `json:"weighting"`
}

// ServiceList are the services at a head revision.
type ServiceList struct {
	Revision int64            `json:"revision"`
	Services []ServiceSummary `json:"services"`
}

// AuditPage is a part of the audit trail, newest entry first.
type AuditPage struct {
	Entries []rollout.AuditEntry `json:"entries"`
	// Before continues the listing when passed to the next request; 0 at the end.
	Before int64 `json:"before,omitempty"`
}

// EjectionPage is a part of a service's ejection trail, newest entry first.
type EjectionPage struct {
	Service string                `json:"service"`
	Entries []ejection.TrailEntry `json:"entries"`
	// Before continues the listing when passed to the next request; 0 at the end.
	Before int64 `json:"before,omitempty"`
}
