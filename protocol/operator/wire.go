package operator

import (
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/rollout"
)

// Confirmation requests that a plan be applied.
type Confirmation struct {
	// Operation identifies the change. A confirmation repeated with the same
	// operation and plan is applied at most once.
	Operation string      `json:"operation"`
	Operator  string      `json:"operator"`
	Plan      config.Plan `json:"plan"`
}

// ConfirmationResult is the result of an accepted confirmation.
type ConfirmationResult struct {
	// Revision is the head revision that contains the change.
	Revision  int64  `json:"revision"`
	Operation string `json:"operation"`
	// Changed is false if the configuration already matched the plan; the head and
	// the audit trail then remain unchanged.
	Changed bool `json:"changed"`
	// Repeated is true if an earlier submission of the same operation was accepted.
	Repeated bool `json:"repeated"`
}

// Status is the state of one proxy and what it knows of the others.
type Status struct {
	Proxy string `json:"proxy"`
	Zone  string `json:"zone"`
	// Revision is the configuration revision that is active on this proxy.
	Revision int64 `json:"revision"`
	// KnownRevision is the highest head revision that this proxy has learned of,
	// from the platform or from another proxy.
	KnownRevision int64 `json:"knownRevision"`
	// ConfirmedAgeMillis is the time in milliseconds since the platform last
	// confirmed the head revision, as far as this proxy knows; negative if it never
	// did.
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
	// Revision is the revision in the member's last report; 0 if unknown.
	Revision int64 `json:"revision"`
	// AgeMillis is the time since that report in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// EndpointState says which requests a proxy sends to an endpoint.
type EndpointState string

// The states of endpoints.
const (
	// EndpointServing receives its full share of requests.
	EndpointServing EndpointState = "serving"
	// EndpointEjected receives no requests except probes.
	EndpointEjected EndpointState = "ejected"
	// EndpointReturning receives requests again, but still counts as unavailable for
	// the floor.
	EndpointReturning EndpointState = "returning"
	// EndpointReduced receives a reduced share of this proxy's requests.
	EndpointReduced EndpointState = "reduced"
	// EndpointDraining receives no new requests because it is about to stop.
	EndpointDraining EndpointState = "leaving"
)

// EndpointStatus is one endpoint as a proxy sees it.
type EndpointStatus struct {
	Name     string        `json:"name"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	State    EndpointState `json:"state"`
	InFlight int           `json:"inFlight"`
	// Limit is the number of requests that this proxy may currently have in flight to
	// the endpoint.
	Limit int `json:"limit"`
	// Weight is the share of requests relative to a healthy endpoint, from 0 to 1.
	Weight float64 `json:"weight"`
	// Evidence lists the failures observed at the endpoint.
	Evidence []Evidence `json:"evidence,omitempty"`
}

// Evidence is one kind of failure observed at an endpoint.
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

// ServiceSummary is one entry of a ServiceList.
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

// AuditPage is one page of the audit trail, newest entry first.
type AuditPage struct {
	Entries []rollout.AuditEntry `json:"entries"`
	// Before is the cursor of the next page; 0 on the last page.
	Before int64 `json:"before,omitempty"`
}

// EjectionPage is one page of a service's ejections, newest entry first.
type EjectionPage struct {
	Service string                `json:"service"`
	Entries []ejection.TrailEntry `json:"entries"`
	// Before is the cursor of the next page; 0 on the last page.
	Before int64 `json:"before,omitempty"`
}
