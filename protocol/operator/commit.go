package operator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
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
	// documentPrefix starts the name of every service document.
	documentPrefix = "config/doc/"
	// maxValueBytes is the size limit of one platform object.
	maxValueBytes = 1 << 20
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
	if err := checkVersions(request.Plan); err != nil {
		return err
	}
	if !request.Plan.Intact() {
		return invalid("plan.digest", "the plan was edited or cut after it was computed", "the plan as the server returned it")
	}
	return nil
}

// checkVersions makes sure that the plan names only documents of its services,
// because those are read to show what changed.
func checkVersions(plan config.Plan) error {
	names := plan.Document.Names()
	if len(names) != len(plan.Versions) {
		return invalid("plan.versions", fmt.Sprintf("%d versions for %d services", len(plan.Versions), len(names)),
			"one for each service of the document")
	}
	for _, name := range names {
		document, given := plan.Versions[name]
		rest, named := strings.CutPrefix(document, documentPrefix+name+"/")
		if !given || document != "" && (!named || strings.ContainsAny(rest, "/?#%.")) {
			return invalid("plan.versions."+name, fmt.Sprintf("%q is not a document of the service", document),
				"the plan as the server returned it")
		}
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
		Message: "other changes were accepted first until the time ran out; this request applied nothing; send the same confirmation again",
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
	plan := a.request.Plan
	if plan.BaseRevision > h.Revision {
		return Confirmed{}, false, invalid("plan.baseRevision",
			fmt.Sprintf("revision %d does not exist; the head is at %d", plan.BaseRevision, h.Revision),
			"a plan computed on this fleet")
	}
	var own *rollout.AuditEntry
	var later []rollout.AuditEntry
	err := h.walkAudit(ctx, a.store, h.Revision+1, plan.BaseRevision, func(e rollout.AuditEntry) bool {
		if e.Operation == a.request.Operation {
			own = &e
			return false
		}
		later = append(later, e)
		return true
	})
	if err != nil {
		return Confirmed{}, false, err
	}
	if own != nil {
		return a.repeated(ctx, *own)
	}
	var changes []rollout.AuditEntry
	for _, e := range later {
		conflict, err := a.conflicts(ctx, e)
		if err != nil {
			return Confirmed{}, false, err
		}
		if conflict {
			changes = append(changes, e)
		}
	}
	if len(changes) > 0 {
		return Confirmed{}, false, a.stale(ctx, h, changes)
	}
	return Confirmed{}, false, nil
}

// repeated answers with the first result after checking that the operation was
// accepted for the same plan.
func (a *attempt) repeated(ctx context.Context, e rollout.AuditEntry) (Confirmed, bool, error) {
	plan := a.request.Plan
	same := e.Base == plan.BaseRevision && slices.Equal(e.Removed, plan.Document.Remove)
	for _, s := range plan.Document.Services {
		if !same || !slices.Contains(e.Changed, s.Name) {
			continue
		}
		stored, err := a.library.read(ctx, rollout.DocumentName(s.Name, e.Revision, e.Operation))
		if err != nil {
			return Confirmed{}, false, err
		}
		same = stored.Digest() == s.Digest()
	}
	for _, name := range e.Changed {
		_, named := plan.Versions[name]
		same = same && named
	}
	if !same {
		return Confirmed{}, false, operationReused()
	}
	return Confirmed{Revision: e.Revision, Operation: e.Operation, Changed: true, Repeated: true}, true, nil
}

func operationReused() error {
	return invalid("operation", "the operation id was used for another plan", "a new operation id")
}

// conflicts reports whether an entry since the base makes the plan stale: it
// changed a named service, or it gave another service a route that the plan also
// gives. It reads the documents as of that entry, so the result never changes.
func (a *attempt) conflicts(ctx context.Context, e rollout.AuditEntry) (bool, error) {
	plan := a.request.Plan
	for _, name := range append(slices.Clone(e.Changed), e.Removed...) {
		if _, named := plan.Versions[name]; named {
			return true, nil
		}
	}
	if !addsRoutes(plan.Difference) {
		return false, nil
	}
	for _, name := range e.Changed {
		service, err := a.library.read(ctx, rollout.DocumentName(name, e.Revision, e.Operation))
		if err != nil {
			return false, err
		}
		if plan.Document.ConflictsWith([]config.Service{service}) {
			return true, nil
		}
	}
	return false, nil
}

func addsRoutes(difference config.Difference) bool {
	for _, s := range difference {
		for _, f := range s.Fields {
			if f.Change != config.ChangeRemoved && f.IsRoute() {
				return true
			}
		}
	}
	return false
}

func (a *attempt) stale(ctx context.Context, h head, changes []rollout.AuditEntry) error {
	var before, after []config.Service
	for name, document := range a.request.Plan.Versions {
		if document != "" {
			service, err := a.library.read(ctx, document)
			if err != nil {
				return err
			}
			before = append(before, service)
		}
		if ref, exists := h.Index[name]; exists {
			service, err := a.library.service(ctx, ref)
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
	if !maps.Equal(plan.Versions, confirmed.Versions) || plan.Difference.String() != confirmed.Difference.String() {
		return plan, a.stale(ctx, h, nil)
	}
	return plan, nil
}

// commit writes the documents and then the head.
func (a *attempt) commit(ctx context.Context, h head, plan config.Plan) (Confirmed, bool, error) {
	commit, err := h.Commit(a.change(h, plan), a.clock.Now())
	if err != nil {
		return Confirmed{}, false, &Problem{Code: CodeInternal, Message: "the change cannot be committed: " + err.Error()}
	}
	if err := checkSizes(commit); err != nil {
		return Confirmed{}, false, err
	}
	for _, w := range commit.CreateOnly() {
		err := create(ctx, a.store, w)
		if errors.Is(err, errExists) && strings.HasPrefix(w.Name, documentPrefix) {
			return Confirmed{}, false, operationReused()
		}
		if err != nil {
			return Confirmed{}, false, err
		}
	}
	_, err = a.store.Put(ctx, rollout.HeadName, h.version, commit.HeadValue())
	switch {
	case err == nil:
		return Confirmed{Revision: commit.Head().Revision, Operation: a.request.Operation, Changed: true}, false, nil
	case errors.Is(err, platform.ErrConflict):
		return Confirmed{}, true, nil
	default:
		a.unknown = true
		a.expected = h.version
		return Confirmed{}, true, nil
	}
}

// change describes the services that differ; unchanged ones keep their documents.
func (a *attempt) change(h head, plan config.Plan) rollout.Change {
	change := rollout.Change{
		Operator:  a.request.Operator,
		Operation: a.request.Operation,
		Base:      a.request.Plan.BaseRevision,
		Versions:  plan.Versions,
		Documents: map[string][]byte{},
		Remove:    plan.Document.Remove,
		Summary:   plan.Difference.Summary(),
	}
	if len(change.Summary) > longestSummary {
		change.Summary = strings.ToValidUTF8(change.Summary[:longestSummary], "") + "…"
	}
	for _, s := range plan.Document.Services {
		content := s.Canonical()
		if ref, exists := h.Index[s.Name]; !exists || ref.Digest != rollout.Digest(content) {
			change.Documents[s.Name] = content
		}
	}
	return change
}

func checkSizes(commit rollout.Commit) error {
	if size := len(commit.HeadValue()); size > maxValueBytes {
		return invalid("plan.document", fmt.Sprintf("config/head would grow to %d bytes", size),
			fmt.Sprintf("fewer services; the head holds at most %d bytes", maxValueBytes))
	}
	for _, w := range commit.CreateOnly() {
		if len(w.Value) > maxValueBytes {
			return invalid("plan.document", fmt.Sprintf("%s would take %d bytes", w.Name, len(w.Value)),
				fmt.Sprintf("at most %d bytes", maxValueBytes))
		}
	}
	return nil
}

// isRefusal reports whether the error is a final answer about the plan itself.
func isRefusal(err error) bool {
	code := asProblem(err).Code
	return code == CodeInvalid || code == CodeStale
}
