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
	// confirmTimeout limits one confirmation. It is shorter than the client's call
	// timeout, so that the client receives the response that reports an unknown result.
	confirmTimeout = 8 * time.Second
	// initialBackoff and maxBackoff limit the wait between commit attempts.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxSummaryBytes limits the summary of an audit entry, so that the 64 entries in
	// the head take about a tenth of its size limit.
	maxSummaryBytes = 1024
	// documentPrefix is the common prefix of the names of service documents.
	documentPrefix = "config/doc/"
	// maxValueBytes is the size limit of one platform object.
	maxValueBytes = 1 << 20
)

// operationPattern restricts operation ids to characters allowed in object names.
var operationPattern = regexp.MustCompile(`^[a-z0-9-]{8,64}$`)

// committer computes plans and commits them to the platform's store.
type committer struct {
	store     Store
	documents *documentCache
	clock     Clock
}

func (c *committer) plan(ctx context.Context, document config.Document) (config.Plan, error) {
	h, err := readHead(ctx, c.store)
	if err != nil {
		return config.Plan{}, err
	}
	base, err := c.documents.loadBase(ctx, h)
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
	if !request.Plan.DigestMatches() {
		return invalid("plan.digest", "the plan was edited or cut after it was computed", "the plan as the server returned it")
	}
	return nil
}

// checkVersions ensures that the plan names only documents of its services. The
// server reads these objects to show what changed, so a plan must not be able to
// name any other object.
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

// confirm applies a plan and retries until confirmTimeout. It returns a *Problem
// with CodeUnknown only if a write of the head may still take effect.
func (c *committer) confirm(ctx context.Context, request Confirmation) (ConfirmationResult, error) {
	if err := checkConfirmation(request); err != nil {
		return ConfirmationResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	a := &applyState{committer: c, request: request}
	backoff := initialBackoff
	for {
		confirmed, retry, err := a.tryCommit(ctx)
		if err == nil && !retry {
			return confirmed, nil
		}
		// A failure is final unless the result of a head write is unknown: without
		// such a write, this confirmation can no longer change the head.
		if err != nil && (!a.resultUnknown || isRefusal(err)) {
			return ConfirmationResult{}, err
		}
		if err := c.clock.Sleep(ctx, backoff); err != nil {
			return ConfirmationResult{}, a.timeoutProblem()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// applyState is the state of one confirmation across its commit attempts.
type applyState struct {
	*committer
	request Confirmation
	// resultUnknown is true while a head write that expects version expectedVersion
	// may still take effect.
	resultUnknown   bool
	expectedVersion int64
}

func (a *applyState) timeoutProblem() error {
	if a.resultUnknown {
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

// tryCommit reads the head and tries to write its successor. It returns retry if
// the head must be read again, because the write conflicted or its result is
// unknown.
func (a *applyState) tryCommit(ctx context.Context) (confirmed ConfirmationResult, retry bool, err error) {
	h, err := readHead(ctx, a.store)
	if err != nil {
		return confirmed, false, err
	}
	confirmed, done, err := a.findEarlierResult(ctx, h)
	if done || err != nil {
		return confirmed, false, err
	}
	// A conditional update that expects an older version cannot succeed once the head
	// has a newer one, so the earlier write of unknown result has failed.
	if h.version != a.expectedVersion {
		a.resultUnknown = false
	}
	plan, err := a.recompute(ctx, h)
	if err != nil {
		return confirmed, false, err
	}
	if len(plan.Difference) == 0 {
		return ConfirmationResult{Revision: h.Revision, Operation: a.request.Operation}, false, nil
	}
	return a.commit(ctx, h, plan)
}

// findEarlierResult searches the audit entries since the plan's base for the
// operation itself and for changes that make the plan stale. Any later change of a
// named service makes the plan stale, even if it was reverted: after one proxy has
// refused a plan, another must not accept it.
func (a *applyState) findEarlierResult(ctx context.Context, h head) (ConfirmationResult, bool, error) {
	plan := a.request.Plan
	if plan.BaseRevision > h.Revision {
		return ConfirmationResult{}, false, invalid("plan.baseRevision",
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
		return ConfirmationResult{}, false, err
	}
	if own != nil {
		return a.repeatedResult(ctx, *own)
	}
	var changes []rollout.AuditEntry
	for _, e := range later {
		conflict, err := a.conflicts(ctx, e)
		if err != nil {
			return ConfirmationResult{}, false, err
		}
		if conflict {
			changes = append(changes, e)
		}
	}
	if len(changes) > 0 {
		return ConfirmationResult{}, false, a.staleProblem(ctx, h, changes)
	}
	return ConfirmationResult{}, false, nil
}

// repeatedResult returns the result of the first submission after checking that it
// had the same plan.
func (a *applyState) repeatedResult(ctx context.Context, e rollout.AuditEntry) (ConfirmationResult, bool, error) {
	plan := a.request.Plan
	same := e.Base == plan.BaseRevision && slices.Equal(e.Removed, plan.Document.Remove)
	for _, s := range plan.Document.Services {
		if !same || !slices.Contains(e.Changed, s.Name) {
			continue
		}
		stored, err := a.documents.loadUnverified(ctx, rollout.DocumentName(s.Name, e.Revision, e.Operation))
		if err != nil {
			return ConfirmationResult{}, false, err
		}
		same = stored.Digest() == s.Digest()
	}
	for _, name := range e.Changed {
		_, named := plan.Versions[name]
		same = same && named
	}
	if !same {
		return ConfirmationResult{}, false, operationReusedProblem()
	}
	return ConfirmationResult{Revision: e.Revision, Operation: e.Operation, Changed: true, Repeated: true}, true, nil
}

func operationReusedProblem() error {
	return invalid("operation", "the operation id was used for another plan", "a new operation id")
}

// conflicts reports whether an audit entry since the base makes the plan stale: it
// changed a service that the plan names, or it gave another service a route that
// the plan adds. It reads the documents of that entry rather than the current ones,
// so that the result is the same whenever it is computed.
func (a *applyState) conflicts(ctx context.Context, e rollout.AuditEntry) (bool, error) {
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
		service, err := a.documents.loadUnverified(ctx, rollout.DocumentName(name, e.Revision, e.Operation))
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

func (a *applyState) staleProblem(ctx context.Context, h head, changes []rollout.AuditEntry) error {
	var before, after []config.Service
	for name, document := range a.request.Plan.Versions {
		if document != "" {
			service, err := a.documents.loadUnverified(ctx, document)
			if err != nil {
				return err
			}
			before = append(before, service)
		}
		if ref, exists := h.Index[name]; exists {
			service, err := a.documents.load(ctx, ref)
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

// recompute computes the plan on the current head and returns a stale-plan Problem
// if it differs from the confirmed one.
func (a *applyState) recompute(ctx context.Context, h head) (config.Plan, error) {
	base, err := a.documents.loadBase(ctx, h)
	if err != nil {
		return config.Plan{}, err
	}
	plan, err := config.NewPlan(base, a.request.Plan.Document)
	if err != nil {
		return plan, err
	}
	confirmed := a.request.Plan
	if !maps.Equal(plan.Versions, confirmed.Versions) || plan.Difference.String() != confirmed.Difference.String() {
		return plan, a.staleProblem(ctx, h, nil)
	}
	return plan, nil
}

// commit writes the documents and audit segments first and the head last. It
// returns true if the head must be read again to learn the result.
func (a *applyState) commit(ctx context.Context, h head, plan config.Plan) (ConfirmationResult, bool, error) {
	commit, err := h.Commit(a.change(h, plan), a.clock.Now())
	if err != nil {
		return ConfirmationResult{}, false, &Problem{Code: CodeInternal, Message: "the change cannot be committed: " + err.Error()}
	}
	if err := checkSizes(commit); err != nil {
		return ConfirmationResult{}, false, err
	}
	for _, w := range commit.CreateOnly() {
		err := createObject(ctx, a.store, w)
		if errors.Is(err, errExists) && strings.HasPrefix(w.Name, documentPrefix) {
			return ConfirmationResult{}, false, operationReusedProblem()
		}
		if err != nil {
			return ConfirmationResult{}, false, err
		}
	}
	_, err = a.store.Put(ctx, rollout.HeadName, h.version, commit.HeadValue())
	switch {
	case err == nil:
		return ConfirmationResult{Revision: commit.Head().Revision, Operation: a.request.Operation, Changed: true}, false, nil
	case errors.Is(err, platform.ErrConflict):
		return ConfirmationResult{}, true, nil
	default:
		a.resultUnknown = true
		a.expectedVersion = h.version
		return ConfirmationResult{}, true, nil
	}
}

// change builds the change to commit. It has new documents only for the services
// that differ.
func (a *applyState) change(h head, plan config.Plan) rollout.Change {
	change := rollout.Change{
		Operator:  a.request.Operator,
		Operation: a.request.Operation,
		Base:      a.request.Plan.BaseRevision,
		Versions:  plan.Versions,
		Documents: map[string][]byte{},
		Remove:    plan.Document.Remove,
		Summary:   plan.Difference.Summary(),
	}
	if len(change.Summary) > maxSummaryBytes {
		change.Summary = strings.ToValidUTF8(change.Summary[:maxSummaryBytes], "") + "…"
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

// isRefusal reports whether the error is a final refusal of the plan, as opposed to
// a failure to reach the platform.
func isRefusal(err error) bool {
	code := toProblem(err).Code
	return code == CodeInvalid || code == CodeStale
}
