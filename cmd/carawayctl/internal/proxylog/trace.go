package proxylog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// windowBefore and windowAfter extend the time of a request to the window in which
	// state changes may be related to it. A state of an endpoint affects requests for some
	// seconds, and a hub evaluates a failed attempt within milliseconds.
	windowBefore = 10 * time.Second
	windowAfter  = time.Second
	// maxChanges limits the lines about state changes that are kept until all lines of the
	// request are known. Each takes about 1 KB.
	maxChanges = 500_000
)

// Entry is a log line of a trace.
type Entry struct {
	line     *Line
	relation Relation
}

// Line returns the log line.
func (e Entry) Line() *Line { return e.line }

// Relation returns the reason why the line is part of the trace.
func (e Entry) Relation() Relation { return e.relation }

// Relation is the reason why a line is part of the trace of a request.
type Relation string

// The relations of lines to a request.
const (
	// RelationRequest is a line about the request itself.
	RelationRequest Relation = "request"
	// RelationAttempt is a state change that an attempt of the request caused.
	RelationAttempt Relation = "attempt"
	// RelationEndpoint is a state change of an endpoint that the request was sent to.
	RelationEndpoint Relation = "endpoint"
	// RelationLimit is a rate limit of such an endpoint, or of any endpoint of the service
	// if rate limits were the reason of a refusal.
	RelationLimit Relation = "limit"
	// RelationRegistration is a registration of such an endpoint, received by a machine
	// that handled the request.
	RelationRegistration Relation = "registration"
	// RelationService is a change in the placement of the service on such a machine.
	RelationService Relation = "service"
	// RelationConfiguration is a change of the configuration on such a machine.
	RelationConfiguration Relation = "configuration"
	// RelationMachine is another change of the proxy on such a machine: its start or
	// stop, its settings, its hubs, or its access to the store.
	RelationMachine Relation = "machine"
)

// Trace collects the log lines that explain the result of one request.
type Trace struct {
	id           string
	requestLines []*Line
	changes      []*Line
	omitted      int
}

// NewTrace returns an empty trace of the request with that id.
func NewTrace(id string) *Trace { return &Trace{id: id} }

// Add adds a line. Lines may be added in any order.
func (t *Trace) Add(l *Line) {
	switch {
	case l.text("request") == t.id:
		t.requestLines = append(t.requestLines, l)
	case strings.HasPrefix(l.message, "request: "):
	case len(t.changes) < maxChanges:
		t.changes = append(t.changes, l)
	default:
		t.omitted++
	}
}

// Found reports whether a line of the request was added.
func (t *Trace) Found() bool { return len(t.requestLines) > 0 }

// Omitted returns the number of lines about state changes that exceeded maxChanges and are
// not part of the trace.
func (t *Trace) Omitted() int { return t.omitted }

// Entries returns the lines of the trace sorted by time, or nil if the request was not
// found.
func (t *Trace) Entries() []Entry {
	if !t.Found() {
		return nil
	}
	f := newRequestFacts(t.requestLines)
	var entries []Entry
	for _, l := range t.requestLines {
		entries = append(entries, Entry{line: l, relation: RelationRequest})
	}
	// Of the changes before the request, only the last one of each subject applied to it.
	latestBefore := map[string]Entry{}
	for _, l := range t.changes {
		relation, subject := f.relationOf(l)
		switch {
		case relation == "" || l.at.After(f.lastLine.Add(windowAfter)):
		case l.at.Before(f.arrival.Add(-windowBefore)) && relation != RelationLimit:
		case !l.at.Before(f.arrival):
			entries = append(entries, Entry{line: l, relation: relation})
		case latestBefore[subject].line == nil || latestBefore[subject].line.at.Before(l.at):
			latestBefore[subject] = Entry{line: l, relation: relation}
		}
	}
	// In a fixed order, because lines of the same millisecond stay in the order of the entries.
	for _, subject := range slices.Sorted(maps.Keys(latestBefore)) {
		e := latestBefore[subject]
		if e.line.message == rateLimitEnded && e.line.at.Before(f.arrival.Add(-windowBefore)) {
			continue
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.line.at.Compare(b.line.at), cmp.Compare(a.line.machine, b.line.machine))
	})
	return entries
}

// requestFacts are the data from the lines of a request that relate other lines to it.
type requestFacts struct {
	arrival, lastLine time.Time
	machines          map[string]bool
	services          map[string]bool
	endpoints         map[string]bool
	tokens            map[string]bool
	refusedByLimits   bool
}

// Messages about rate limits. A limit applies until it ends, however long ago it was
// declared.
const (
	rateLimitDeclared = "endpoint: rate limit declared"
	rateLimitEnded    = "endpoint: rate limit ended"
	reasonRateLimit   = "rate_limit"
)

func newRequestFacts(request []*Line) *requestFacts {
	f := &requestFacts{
		machines: map[string]bool{}, services: map[string]bool{},
		endpoints: map[string]bool{}, tokens: map[string]bool{},
	}
	for _, l := range request {
		arrival := l.at.Add(-time.Duration(l.number("elapsed")) * time.Millisecond)
		if f.arrival.IsZero() || arrival.Before(f.arrival) {
			f.arrival = arrival
		}
		if l.at.After(f.lastLine) {
			f.lastLine = l.at
		}
		f.machines[l.machine] = true
		f.refusedByLimits = f.refusedByLimits || l.text("reason") == reasonRateLimit
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

// derivedCauses are the causes of endpoint state changes that are relevant only on the
// machine of the request, because every machine logs the same: it receives the state from
// a hub, and old evidence expires.
var derivedCauses = []string{"hub", "evidence_old"}

// relationOf returns the relation of a line about a state change to the request, "" if there
// is none, and the subject that changed.
func (f *requestFacts) relationOf(l *Line) (relation Relation, subject string) {
	sameMachine := f.machines[l.machine]
	switch {
	case f.tokens[l.text("attempt_token")]:
		return RelationAttempt, l.text("attempt_token")
	case l.message == rateLimitDeclared || l.message == rateLimitEnded:
		if f.endpoints[l.text("endpoint")] || f.refusedByLimits && f.services[l.text("service")] {
			return RelationLimit, "limit " + l.machine + " " + l.text("endpoint")
		}
		return "", ""
	case f.endpoints[l.text("endpoint")] && (sameMachine || !slices.Contains(derivedCauses, l.text("cause"))):
		return RelationEndpoint, l.machine + " " + l.text("endpoint")
	case !sameMachine:
		return "", ""
	case l.message == "endpoints: registrations changed" && f.namesEndpoint(l):
		return RelationRegistration, l.machine
	case f.services[l.text("service")] && strings.HasPrefix(l.message, "placement: "):
		return RelationService, l.text("service")
	case strings.HasPrefix(l.message, "configuration: "):
		return RelationConfiguration, ""
	case strings.HasPrefix(l.message, "proxy: "), strings.HasPrefix(l.message, "fleet: hub"),
		strings.HasPrefix(l.message, "fleet: duty"), strings.HasPrefix(l.message, "store: "),
		strings.HasPrefix(l.message, "settings: "):
		return RelationMachine, l.machine + " " + l.message
	default:
		return "", ""
	}
}

// namesEndpoint reports whether a line contains the id of an endpoint of the request.
func (f *requestFacts) namesEndpoint(l *Line) bool {
	for id := range f.endpoints {
		if strings.Contains(string(l.raw), `"`+id+`"`) {
			return true
		}
	}
	return false
}
