package ejection

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// maxRecentWrites is the maximum length of Recent. A proxy reads the ledger again
// within seconds of a lost response, in which the two evaluators of a service
// write only a few times.
const maxRecentWrites = 16

// ErrInvalidLedger means that a stored value is not a ledger of the service.
var ErrInvalidLedger = eris.New("ejection: invalid ledger")

// State is the state of a ledger entry.
type State string

// The states of a ledger entry. In both, the endpoint counts as unavailable when
// an ejection is checked against the floor.
const (
	// StateEjected means that proxies with a valid copy do not pick the endpoint.
	StateEjected State = "ejected"
	// StateReturning means that the endpoint may be picked again, but proxies
	// with older copies may still treat it as ejected.
	StateReturning State = "returning"
)

// Entry is the ledger entry of an endpoint that is ejected or returning.
type Entry struct {
	Endpoint string `json:"endpoint"`
	State    State  `json:"state"`
	// Kind is the kind of evidence that led to the ejection.
	Kind string `json:"kind"`
	// Evidence is the strength of the evidence as a log-likelihood ratio.
	Evidence float64 `json:"evidence"`
	// Proposer is the incarnation of the proxy that proposed the ejection.
	Proposer string `json:"proposer"`
	// Operation is the id of the write that put the entry into its state. It
	// distinguishes successive returns of the same endpoint.
	Operation string `json:"operation"`
}

// Record counts the earlier ejections of an endpoint.
type Record struct {
	Endpoint string `json:"endpoint"`
	// Ejections is the number of ejections that have ended.
	Ejections int `json:"ejections"`
	// ForgetAt is the wall-clock time in Unix milliseconds at which the record
	// expires. Records only influence the evidence required to readmit an
	// endpoint, so clock skew between proxies does not endanger the floor.
	ForgetAt int64 `json:"forgetAt"`
}

// Ledger is the value of the platform object ejection/<service>.
type Ledger struct {
	Service string `json:"service"`
	// ConfigRevision is the highest revision of the service's document under
	// which the ledger was written.
	ConfigRevision int64 `json:"configRevision"`
	// Operation is the id of the write that stored this value.
	Operation string `json:"operation"`
	// Recent holds the ids of the latest writes, newest last. A proxy that lost
	// the response to its write finds the id here even if others wrote later.
	Recent  []string `json:"recent,omitempty"`
	Entries []Entry  `json:"entries"`
	History []Record `json:"history,omitempty"`
}

// ObjectName returns the name of the service's ledger on the platform.
func ObjectName(service string) string {
	return "ejection/" + service
}

// Decode parses a stored value. An empty value means that the object does not
// exist yet and gives an empty ledger. The error is ErrInvalidLedger, wrapped
// with the name of the invalid field.
func Decode(service string, value []byte) (Ledger, error) {
	if len(value) == 0 {
		return Ledger{Service: service}, nil
	}
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, eris.Wrapf(ErrInvalidLedger, "%s: %v", ObjectName(service), err)
	}
	if l.Service != service {
		return Ledger{}, eris.Wrapf(ErrInvalidLedger, "service is %q, must be %q", l.Service, service)
	}
	if err := l.validate(); err != nil {
		return Ledger{}, err
	}
	return l, nil
}

// Encode returns the value to store.
func (l Ledger) Encode() ([]byte, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, eris.Wrap(err, "ejection: encode ledger")
	}
	return value, nil
}

// Entry returns the entry of an endpoint, and whether there is one.
func (l Ledger) Entry(endpoint string) (Entry, bool) {
	i := l.index(endpoint)
	if i < 0 {
		return Entry{}, false
	}
	return l.Entries[i], true
}

// Ejections returns the number of the endpoint's earlier ejections according to
// History, whose records expire after an hour.
func (l Ledger) Ejections(endpoint string) int {
	for _, r := range l.History {
		if r.Endpoint == endpoint {
			return r.Ejections
		}
	}
	return 0
}

func (l Ledger) index(endpoint string) int {
	return slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Endpoint == endpoint })
}

// recordOperation sets the id of the write that will store the ledger.
func (l *Ledger) recordOperation(operation string) {
	l.Operation = operation
	l.Recent = append(l.Recent, operation)
	if extra := len(l.Recent) - maxRecentWrites; extra > 0 {
		l.Recent = slices.Delete(l.Recent, 0, extra)
	}
}

func (l Ledger) clone() Ledger {
	l.Entries = slices.Clone(l.Entries)
	l.History = slices.Clone(l.History)
	l.Recent = slices.Clone(l.Recent)
	return l
}

func (l Ledger) validate() error {
	seen := make(map[string]bool, len(l.Entries))
	for i, e := range l.Entries {
		switch {
		case e.Endpoint == "":
			return eris.Wrapf(ErrInvalidLedger, "entries[%d].endpoint is empty, must be an endpoint name", i)
		case seen[e.Endpoint]:
			return eris.Wrapf(ErrInvalidLedger, "entries[%d].endpoint %q is listed twice", i, e.Endpoint)
		case e.State != StateEjected && e.State != StateReturning:
			return eris.Wrapf(ErrInvalidLedger, "entries[%d].state is %q, must be %q or %q",
				i, e.State, StateEjected, StateReturning)
		case e.Operation == "":
			return eris.Wrapf(ErrInvalidLedger, "entries[%d].operation is empty, must be an operation id", i)
		}
		seen[e.Endpoint] = true
	}
	return nil
}
