package ejection

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// recentLimit bounds Recent. Two evaluators write at most a few times in the
// seconds until a lost response is read back.
const recentLimit = 16

// ErrInvalidLedger means that a stored value is not a ledger of the service.
var ErrInvalidLedger = eris.New("ejection: invalid ledger")

// State is the state of a ledger entry.
type State string

// The states of a ledger entry. Both count against the floor.
const (
	// StateEjected means that holders of a valid copy send the endpoint no work.
	StateEjected State = "ejected"
	// StateReturning means that the endpoint receives work again while older
	// copies may still list it as ejected.
	StateReturning State = "returning"
)

// Entry is one endpoint that is ejected or on its way back.
type Entry struct {
	Endpoint string `json:"endpoint"`
	State    State  `json:"state"`
	// Kind names the evidence that led to the ejection.
	Kind string `json:"kind"`
	// Evidence is the strength of the evidence as a log-likelihood ratio.
	Evidence float64 `json:"evidence"`
	// Proposer is the incarnation of the proxy that proposed the ejection.
	Proposer string `json:"proposer"`
	// Operation is the id of the write that put the entry into its state. It
	// keeps two successive returns of one endpoint apart.
	Operation string `json:"operation"`
}

// Record is the memory of an endpoint's earlier ejections.
type Record struct {
	Endpoint string `json:"endpoint"`
	// Ejections is the number of ejections that have ended.
	Ejections int `json:"ejections"`
	// ForgetAt is the wall-clock time in Unix milliseconds after which the
	// record is dropped. It influences only the proof required for a return, so
	// clock differences between proxies do no harm.
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
	// Recent holds the ids of the latest writes, the newest last, so that a
	// writer whose response was lost still finds its write under later ones.
	Recent  []string `json:"recent,omitempty"`
	Entries []Entry  `json:"entries"`
	History []Record `json:"history,omitempty"`
}

// ObjectName returns the name of the service's ledger on the platform.
func ObjectName(service string) string {
	return "ejection/" + service
}

// Decode parses a stored value. An empty value, as of an object that does not
// exist yet, is an empty ledger. The error is ErrInvalidLedger with the field.
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

// Ejections returns the number of earlier ejections still remembered for the
// endpoint.
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

// sign notes the write that stores the ledger.
func (l *Ledger) sign(operation string) {
	l.Operation = operation
	l.Recent = append(l.Recent, operation)
	if extra := len(l.Recent) - recentLimit; extra > 0 {
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
