package operator

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const (
	// confirmTimeout bounds one confirmation. It is shorter than the client's
	// call timeout, so that the client learns an unknown result as such.
	confirmTimeout = 8 * time.Second
	// firstPause and longestPause bound the wait between attempts.
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// longestSummary keeps 64 audit entries at about a tenth of the head.
	longestSummary = 1024
)

// operationPattern keeps operation ids usable in object names.
var operationPattern = regexp.MustCompile(`^[a-z0-9-]{8,64}$`)

// committer computes plans and applies them to the platform's store.
type committer struct {
	store   Store
	library *library
	clock   Clock
}

func (c *committer) plan(ctx context.Context, document config.Document) (config.Plan, error) {
	h, err := readHead(ctx, c.store)
	if err != nil {
		return config.Plan{}, err
	}
	base, err := c.library.base(ctx, h)
	if err != nil {
		return config.Plan{}, err
	}
	return config.NewPlan(base, document)
}

func checkConfirmation(request Confirmation) error {
	if !operationPattern.MatchString(request.Operation) {
		return invalid("operation", "not an operation id", "8 to 64 lower-case letters, digits and '-', such as a UUID")
	}
	if !config.ValidName(request.Operator) {
		return invalid("operator", "not an operator name",
			"1 to 63 lower-case letters, digits, '-', '_' and '.', starting with a letter or digit")
	}
	if err := request.Plan.Document.Validate(); err != nil {
		return err
	}
	if !request.Plan.Intact() {
		return invalid("plan.digest", "the plan was edited or cut after it was computed", "the plan as the server returned it")
	}
	return nil
}

// confirm applies a plan. It returns a *Problem with CodeUnknown only if a head
// write may still take effect.
func (c *committer) confirm(ctx context.Context, request Confirmation) (Confirmed, error) {
	if err := checkConfirmation(request); err != nil {
		return Confirmed{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	a := &attempt{committer: c, request: request}
	pause := firstPause
	for {
		confirmed, again, err := a.once(ctx)
		if err == nil && !again {
			return confirmed, nil
		}
		// Without a write of unknown result, a failure is final: nothing of this
		// confirmation can reach the head any more.
		if err != nil && (!a.unknown || isRefusal(err)) {
			return Confirmed{}, err
		}
		if err := c.clock.Sleep(ctx, pause); err != nil {
			return Confirmed{}, a.outOfTime()
		}
		pause = min(2*pause, longestPause)
	}
}

// attempt is the state of one confirmation.
type attempt struct {
	*committer
	request Confirmation
	// unknown is set while a head write at version expected may take effect.
	unknown  bool
	expected int64
}

func (a *attempt) outOfTime() error {
	if a.unknown {
		return &Problem{
			Code:    CodeUnknown,
			Message: "the platform did not say whether the change took effect; send the same confirmation again",
		}
	}
	return &Problem{
		Code:    CodeUnavailable,
		Message: "other changes were accepted first until the time ran out; nothing was applied; send the same confirmation again",
	}
}

// once reads the head and tries to write the next one. again means that the
// head must be read again to learn the result.
func (a *attempt) once(ctx context.Context) (confirmed Confirmed, again bool, err error) {
	h, err := readHead(ctx, a.store)
	if err != nil {
		return confirmed, false, err
	}
	confirmed, done, err := a.earlierResult(ctx, h)
	if done || err != nil {
		return confirmed, false, err
	}
	// A conditional update on an older version can never succeed once the head
	// has moved on, so a write of unknown result is now known to have failed.
	if h.version != a.expected {
		a.unknown = false
	}
	plan, err := a.recompute(ctx, h)
	if err != nil {
		return confirmed, false, err
	}
	if len(plan.Difference) == 0 {
		return Confirmed{Revision: h.Revision, Operation: a.request.Operation}, false, nil
	}
	return a.commit(ctx, h, plan)
}

// earlierResult looks for the operation among the entries since the plan's base,
// and for changes that make the plan stale. Any later change of a named service
// makes it stale, also one that was undone: a refusal that was once given must
// not turn into an acceptance at another proxy.
func (a *attempt) earlierResult(ctx context.Context, h head) (Confirmed, bool, error) {
	var own *AuditEntry
	var changes []AuditEntry
	plan := a.request.Plan
	err := h.walkAudit(ctx, a.store, h.Revision+1, plan.BaseRevision, func(e AuditEntry) bool {
		if e.Operation == a.request.Operation {
			own = &e
			return false
		}
		if a.conflicts(e) {
			changes = append(changes, e)
		}
		return true
	})
	switch {
	case err != nil:
		return Confirmed{}, false, err
	case own != nil && own.PlanDigest != plan.Digest:
		return Confirmed{}, false, invalid("operation", "the operation id was used for another plan", "a new operation id")
	case own != nil:
		return Confirmed{Revision: own.Revision, Operation: own.Operation, Changed: true, Repeated: true}, true, nil
	case plan.BaseRevision > h.Revision:
		return Confirmed{}, false, invalid("plan.baseRevision",
			fmt.Sprintf("revision %d does not exist; the head is at %d", plan.BaseRevision, h.Revision),
			"a plan computed on this fleet")
	case len(changes) > 0:
		return Confirmed{}, false, a.stale(ctx, h, changes)
	}
	return Confirmed{}, false, nil
}

// conflicts reports whether an entry since the base makes the plan stale: it
// changed a named service, or both it and the plan changed routes, which must be
// unique over all services.
func (a *attempt) conflicts(e AuditEntry) bool {
	for _, name := range e.Services {
		if _, named := a.request.Plan.Versions[name]; named {
			return true
		}
	}
	return e.RoutesChanged && changesRoutes(a.request.Plan.Difference)
}

func changesRoutes(difference config.Difference) bool {
	for _, s := range difference {
		for _, f := range s.Fields {
			if s.Change != config.ChangeRemoved && f.Change != config.ChangeRemoved && f.IsRoute() {
				return true
			}
		}
	}
	return false
}

func (a *attempt) stale(ctx context.Context, h head, changes []AuditEntry) error {
	var before, after []config.Service
	for name, document := range a.request.Plan.Versions {
		if document != "" {
			service, err := a.library.read(ctx, document)
			if err != nil {
				return err
			}
			before = append(before, service)
		}
		if entry, exists := h.Services[name]; exists {
			service, err := a.library.service(ctx, entry)
			if err != nil {
				return err
			}
			after = append(after, service)
		}
	}
	return &Problem{
		Code: CodeStale,
		Message: fmt.Sprintf("the configuration changed since the plan was computed at revision %d; make a new plan",
			a.request.Plan.BaseRevision),
		Revision:   h.Revision,
		Difference: config.Diff(before, after),
		Changes:    changes,
	}
}

// recompute computes the plan on the present head and compares it with the
// confirmed one.
func (a *attempt) recompute(ctx context.Context, h head) (config.Plan, error) {
	base, err := a.library.base(ctx, h)
	if err != nil {
		return config.Plan{}, err
	}
	plan, err := config.NewPlan(base, a.request.Plan.Document)
	if err != nil {
		return plan, err
	}
	confirmed := a.request.Plan
	if !reflect.DeepEqual(plan.Versions, confirmed.Versions) || plan.Difference.String() != confirmed.Difference.String() {
		return plan, a.stale(ctx, h, nil)
	}
	return plan, nil
}

func (a *attempt) commit(ctx context.Context, h head, plan config.Plan) (Confirmed, bool, error) {
	set, err := a.writeDocuments(ctx, h, plan)
	if err != nil {
		return Confirmed{}, false, err
	}
	entry := a.entry(h, plan)
	next, archived := h.next(entry, set, plan.Document.Remove)
	content, err := next.encode()
	if err != nil {
		return Confirmed{}, false, err
	}
	if len(archived) > 0 {
		if err := archive(ctx, a.store, archived); err != nil {
			return Confirmed{}, false, err
		}
	}
	_, err = a.store.Put(ctx, headName, h.version, content)
	switch {
	case err == nil:
		return Confirmed{Revision: entry.Revision, Operation: entry.Operation, Changed: true}, false, nil
	case errors.Is(err, platform.ErrConflict):
		return Confirmed{}, true, nil
	default:
		a.unknown = true
		a.expected = h.version
		return Confirmed{}, true, nil
	}
}

// writeDocuments stores the services that change. Names contain the operation
// and the revision after the plan's base, so that a repeated confirmation uses
// the same documents.
func (a *attempt) writeDocuments(ctx context.Context, h head, plan config.Plan) (map[string]indexEntry, error) {
	set := map[string]indexEntry{}
	for _, s := range plan.Document.Services {
		content := s.Canonical()
		entry := indexEntry{Digest: config.Digest(content)}
		if present, exists := h.Services[s.Name]; exists && present.Digest == entry.Digest {
			continue
		}
		if len(content) > maxValueBytes {
			return nil, invalid("plan.document", fmt.Sprintf("service %s takes %d bytes", s.Name, len(content)),
				fmt.Sprintf("at most %d bytes", maxValueBytes))
		}
		entry.Document = fmt.Sprintf("config/doc/%s/%d-%s", s.Name, a.request.Plan.BaseRevision+1, a.request.Operation)
		err := create(ctx, a.store, entry.Document, content)
		if errors.Is(err, errExists) {
			return nil, invalid("operation", "the operation id was used for another plan", "a new operation id")
		}
		if err != nil {
			return nil, err
		}
		set[s.Name] = entry
	}
	return set, nil
}

func (a *attempt) entry(h head, plan config.Plan) AuditEntry {
	entry := AuditEntry{
		Revision:      h.Revision + 1,
		Operation:     a.request.Operation,
		Operator:      a.request.Operator,
		BaseRevision:  a.request.Plan.BaseRevision,
		Time:          a.clock.Now().UTC(),
		RoutesChanged: changesRoutes(plan.Difference),
		Summary:       plan.Difference.Summary(),
		PlanDigest:    a.request.Plan.Digest,
	}
	for _, s := range plan.Difference {
		entry.Services = append(entry.Services, s.Service)
	}
	if len(entry.Summary) > longestSummary {
		entry.Summary = entry.Summary[:longestSummary] + "…"
	}
	return entry
}

// isRefusal reports whether the error is a final answer about the plan itself.
func isRefusal(err error) bool {
	code := asProblem(err).Code
	return code == CodeInvalid || code == CodeStale
}
