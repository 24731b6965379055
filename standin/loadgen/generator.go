package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/carawayhold/carawayhold/standin/answer"
	"github.com/carawayhold/carawayhold/standin/loadplan"
	"github.com/carawayhold/carawayhold/standin/timer"
)

const (
	// deadlineMargin is added to a request's deadline before the caller gives up, so
	// that the response of a proxy that met the deadline still arrives.
	deadlineMargin   = time.Second
	resubmitDelay    = 300 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
	maxResponseBytes = 4 << 20
	idlePerTarget    = 64
	maxOutstanding   = 5000
	connectTimeout   = time.Second
	headerFirst      = "Carawayhold-First"
	headerOutcome    = "Carawayhold-Outcome"
	outcomeNotRun    = "not-run"
	outcomeUnknown   = "unknown"
	retryAfterUnit   = time.Second
)

type generator struct {
	plan     loadplan.Plan
	balancer *balancer
	recorder *recorder
	client   *http.Client
	inFlight chan struct{} // holds one element per outstanding request
}

func newGenerator(p loadplan.Plan, b *balancer, rec *recorder) *generator {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerTarget,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &generator{
		plan: p, balancer: b, recorder: rec,
		client:   &http.Client{Transport: transport},
		inFlight: make(chan struct{}, maxOutstanding),
	}
}

// run sends the requests of all flows for the duration of the plan and returns when
// every request has its final result.
func (g *generator) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := time.Now().Add(time.Duration(g.plan.Seconds * float64(time.Second)))
	var group sync.WaitGroup
	for i, f := range g.plan.Flows {
		group.Go(func() { g.runFlow(ctx, i, f, end) })
	}
	group.Wait()
}

func (g *generator) runFlow(ctx context.Context, index int, f loadplan.Flow, end time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	interval := time.Duration(float64(time.Second) / f.Rate)
	next := time.Now()
	for n := 0; ctx.Err() == nil && next.Before(end); n++ {
		timer.Wait(ctx, time.Until(next))
		next = next.Add(interval)
		team := ""
		if len(f.Teams) > 0 {
			team = f.Teams[n%len(f.Teams)]
		}
		select {
		case g.inFlight <- struct{}{}:
		default:
			g.recorder.recordOverflow(index)
			continue
		}
		group.Go(func() {
			defer func() { <-g.inFlight }()
			g.submit(ctx, index, f, team)
		})
	}
}

// submit sends one request, resubmits it while its outcome is unknown, and records the
// final result.
func (g *generator) submit(ctx context.Context, index int, f loadplan.Flow, team string) {
	key := ""
	if f.Keyed {
		key = newKey()
	}
	started := time.Now()
	var last attempt
	for n := 0; n <= g.plan.Resubmissions; n++ {
		last = g.send(ctx, f, team, key, n == 0)
		g.recorder.recordAttempt(index, last)
		if n == 0 {
			g.recorder.recordFirst(index, last, time.Since(started))
		}
		if !last.resubmits() {
			break
		}
		timer.Wait(ctx, last.delay())
	}
	g.recorder.recordFinal(index, key, last.result, time.Since(started))
}

// newKey returns an idempotency key. It is a UUIDv7, which contains its creation time.
func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return key.String()
}

// result is the outcome of one request from the caller's point of view.
type result string

// Results of a request.
const (
	resultWhole   result = "whole"   // a complete response to this request
	resultRefused result = "refused" // an error status with a Retry-After header
	resultNotRun  result = "not-run" // the proxy reports that the request was not executed
	resultUnknown result = "unknown" // the proxy reports that the outcome is unknown
	resultFailed  result = "failed"  // any other status except 200
	resultBroken  result = "broken"  // no ready proxy, or no complete HTTP response
	resultPartial result = "partial" // status 200 with an incomplete or altered body
	resultForeign result = "foreign" // status 200 with the response to a different request
)

type attempt struct {
	target     string
	result     result
	keyed      bool
	retryAfter time.Duration
}

// resubmits reports whether a caller would resubmit the request.
func (a attempt) resubmits() bool {
	switch a.result {
	case resultBroken:
		return true
	case resultUnknown, resultNotRun:
		return a.keyed
	default:
		return false
	}
}

func (a attempt) delay() time.Duration {
	return max(resubmitDelay, min(a.retryAfter, maxRetryAfter))
}

func (g *generator) send(ctx context.Context, f loadplan.Flow, team, key string, first bool) attempt {
	t, ok := g.balancer.pick()
	if !ok {
		return attempt{result: resultBroken, keyed: key != ""}
	}
	a := attempt{target: t.Name, result: resultBroken, keyed: key != ""}
	deadline := time.Duration(f.DeadlineMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline+deadlineMargin)
	defer cancel()
	body := bytes.Repeat([]byte("b"), f.BodyBytes)
	request, err := http.NewRequestWithContext(ctx, f.Method, "http://"+t.Caller+f.Path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	id := uuid.NewString()
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Team", team)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(f.DeadlineMillis, 10))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		if first {
			request.Header.Set(headerFirst, "true")
		}
		// Without GetBody the transport cannot retry the request itself. Each
		// submission must be recorded.
		request.GetBody = nil
	}
	response, err := g.client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return a
	}
	a.result, a.retryAfter = classify(response, content, id), retryAfter(response)
	if response.Header.Get("Carawayhold-Replayed") == "true" && a.result == resultForeign {
		// A replayed response contains the request identifier of the first submission.
		a.result = resultWhole
	}
	return a
}

func retryAfter(response *http.Response) time.Duration {
	units, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(units) * retryAfterUnit
}

func classify(response *http.Response, content []byte, id string) result {
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		return resultNotRun
	case outcomeUnknown:
		return resultUnknown
	}
	if response.StatusCode != http.StatusOK {
		if response.Header.Get("Retry-After") != "" {
			return resultRefused
		}
		return resultFailed
	}
	var document answer.Document
	if err := json.Unmarshal(content, &document); err != nil || !document.Valid() {
		return resultPartial
	}
	if document.RequestID != id {
		return resultForeign
	}
	return resultWhole
}
