package proxylog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// before and after are how long before the first and after the last line of a request
	// changes that may have decided it are shown. A belief counts for some seconds, and a
	// hub draws its conclusion from an attempt within milliseconds.
	before = 10 * time.Second
	after  = time.Second
	// statesKept is the number of lines about changes that are kept while the request is
	// looked for: about 1 KB each.
	statesKept = 500_000
)

// Entry is a line on the way of a request.
type Entry struct {
	line     *Line
	relation Relation
}

// Line returns the log line.
func (e Entry) Line() *Line { return e.line }

// Relation returns why the line belongs to the request.
func (e Entry) Relation() Relation { return e.relation }

// Relation is why a line belongs to a request.
type Relation string

// The relations of lines to a request.
const (
	OfRequest       Relation = "request"
	OfAttempt       Relation = "attempt"       // another machine's conclusion from its attempt
	OfEndpoint      Relation = "endpoint"      // belief about an endpoint that it was sent to
	OfRegistration  Relation = "registration"  // of such an endpoint, as its machine heard of it
	OfService       Relation = "service"       // placement of its service, on its machine
	OfConfiguration Relation = "configuration" // on its machine
	OfMachine       Relation = "machine"       // life and membership of its machine
)

// Trail collects what decided one request.
type Trail struct {
	id      string
	request []*Line
	states  []*Line
	omitted int
}

// NewTrail returns the empty trail of the request with that id.
func NewTrail(id string) *Trail { return &Trail{id: id} }

// Take takes the next line, in any order.
func (t *Trail) Take(l *Line) {
	switch {
	case l.text("request") == t.id:
		t.request = append(t.request, l)
	case strings.HasPrefix(l.message, "request: "):
	case len(t.states) < statesKept:
		t.states = append(t.states, l)
	default:
		t.omitted++
	}
}

// Found reports whether a line of the request was read.
func (t *Trail) Found() bool { return len(t.request) > 0 }

// Omitted returns how many lines about changes were left out because there were too many.
func (t *Trail) Omitted() int { return t.omitted }

// Entries returns the way of the request in order of time.
func (t *Trail) Entries() []Entry {
	if !t.Found() {
		return nil
	}
	f := newFacts(t.request)
	var entries []Entry
	for _, l := range t.request {
		entries = append(entries, Entry{line: l, relation: OfRequest})
	}
	// Of each state, only the newest line before the request counts.
	former := map[string]Entry{}
	for _, l := range t.states {
		relation, state := f.relate(l)
		switch {
		case relation == "" || l.at.Before(f.from.Add(-before)) || l.at.After(f.until.Add(after)):
		case !l.at.Before(f.from):
			entries = append(entries, Entry{line: l, relation: relation})
		case former[state].line == nil || former[state].line.at.Before(l.at):
			former[state] = Entry{line: l, relation: relation}
		}
	}
	for _, e := range former {
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.line.at.Compare(b.line.at), cmp.Compare(a.line.machine, b.line.machine))
	})
	return entries
}

// facts are what the lines of a request say about its way.
type facts struct {
	from, until time.Time // the arrival and the last line
	machines    map[string]bool
	services    map[string]bool
	endpoints   map[string]bool
	tokens      map[string]bool
}

func newFacts(request []*Line) *facts {
	f := &facts{
		machines: map[string]bool{}, services: map[string]bool{},
		endpoints: map[string]bool{}, tokens: map[string]bool{},
	}
	for _, l := range request {
		arrival := l.at.Add(-time.Duration(l.number("elapsed")) * time.Millisecond)
		if f.from.IsZero() || arrival.Before(f.from) {
			f.from = arrival
		}
		if l.at.After(f.until) {
			f.until = l.at
		}
		f.machines[l.machine] = true
		for name, set := range map[string]map[string]bool{
			"service": f.services, "endpoint": f.endpoints, "attempt_token": f.tokens,
		} {
			if value := l.text(name); value != "" {
				set[value] = true
			}
		}
	}
	return f
}

// notEvidence are the causes of beliefs that say nothing new on other machines than that of
// the request: each has them from a hub, and they fade alike everywhere.
var notEvidence = []string{"hub", "evidence_old"}

// relate returns why a line about a change belongs to the request, or "", and which state
// it changes.
func (f *facts) relate(l *Line) (relation Relation, state string) {
	here := f.machines[l.machine]
	switch {
	case f.tokens[l.text("attempt_token")]:
		return OfAttempt, l.text("attempt_token")
	case f.endpoints[l.text("endpoint")] && (here || !slices.Contains(notEvidence, l.text("cause"))):
		return OfEndpoint, l.machine + " " + l.text("endpoint")
	case !here:
		return "", ""
	case l.message == "endpoints: registrations changed" && f.names(l):
		return OfRegistration, l.machine
	case f.services[l.text("service")] && strings.HasPrefix(l.message, "placement: "):
		return OfService, l.text("service")
	case strings.HasPrefix(l.message, "configuration: "):
		return OfConfiguration, ""
	case strings.HasPrefix(l.message, "proxy: "), strings.HasPrefix(l.message, "fleet: hub"),
		strings.HasPrefix(l.message, "fleet: duty"), strings.HasPrefix(l.message, "store: "),
		strings.HasPrefix(l.message, "settings: "):
		return OfMachine, l.machine + " " + l.message
	default:
		return "", ""
	}
}

// names reports whether a line names an endpoint of the request.
func (f *facts) names(l *Line) bool {
	for id := range f.endpoints {
		if strings.Contains(string(l.raw), `"`+id+`"`) {
			return true
		}
	}
	return false
}
