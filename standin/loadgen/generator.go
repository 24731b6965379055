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
	// lateAllowance is added to a request's deadline before the caller gives up:
	// the answer of a proxy that kept the deadline still has to arrive.
	lateAllowance   = time.Second
	resubmitPause   = 300 * time.Millisecond
	maxRetryAfter   = 2 * time.Second
	maxAnswerBytes  = 4 << 20
	idlePerTarget   = 64
	maxOutstanding  = 5000
	connectTimeout  = time.Second
	headerFirst     = "Carawayhold-First"
	headerOutcome   = "Carawayhold-Outcome"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	retryAfterUnits = time.Second
)

type generator struct {
	plan     loadplan.Plan
	balancer *balancer
	recorder *recorder
	client   *http.Client
	limit    chan struct{}
}

func newGenerator(p loadplan.Plan, b *balancer, rec *recorder) *generator {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerTarget,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &generator{
		plan: p, balancer: b, recorder: rec,
		client: &http.Client{Transport: transport},
		limit:  make(chan struct{}, maxOutstanding),
	}
}

// run sends all flows until the plan's time is over and every request has its
// final outcome.
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
		case g.limit <- struct{}{}:
		default:
			g.recorder.overflow(index)
			continue
		}
		group.Go(func() {
			defer func() { <-g.limit }()
			g.submit(ctx, index, f, team)
		})
	}
}

// submit sends one request, again while its outcome is not known, and records
// the final result.
func (g *generator) submit(ctx context.Context, index int, f loadplan.Flow, team string) {
	key := ""
	if f.Keyed {
		key = newKey()
	}
	started := time.Now()
	var last attempt
	for n := 0; n <= g.plan.Resubmissions; n++ {
		last = g.send(ctx, f, team, key, n == 0)
		g.recorder.attempt(index, last)
		if n == 0 {
			g.recorder.first(index, last, time.Since(started))
		}
		if !last.again() {
			break
		}
		timer.Wait(ctx, last.pause())
	}
	g.recorder.final(index, key, last.result, time.Since(started))
}

// newKey returns a UUIDv7, which carries its time of creation.
func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return key.String()
}

// result is what a caller saw of one request.
type result string

// The results. Partial and foreign mean that the answer looked complete but was
// not, or was another request's.
const (
	resultWhole   result = "whole"
	resultRefused result = "refused"
	resultNotRun  result = "not-run"
	resultUnknown result = "unknown"
	resultFailed  result = "failed"
	resultBroken  result = "broken"
	resultPartial result = "partial"
	resultForeign result = "foreign"
)

type attempt struct {
	target     string
	result     result
	keyed      bool
	retryAfter time.Duration
}

// again reports whether a caller would submit the request once more.
func (a attempt) again() bool {
	switch a.result {
	case resultBroken:
		return true
	case resultUnknown, resultNotRun:
		return a.keyed
	default:
		return false
	}
}

func (a attempt) pause() time.Duration {
	return max(resubmitPause, min(a.retryAfter, maxRetryAfter))
}

func (g *generator) send(ctx context.Context, f loadplan.Flow, team, key string, first bool) attempt {
	t, ok := g.balancer.pick()
	if !ok {
		return attempt{result: resultBroken, keyed: key != ""}
	}
	a := attempt{target: t.Name, result: resultBroken, keyed: key != ""}
	deadline := time.Duration(f.DeadlineMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline+lateAllowance)
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
		// The transport must not send the request again by itself: each
		// submission is recorded.
		request.GetBody = nil
	}
	response, err := g.client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return a
	}
	a.result, a.retryAfter = judge(response, content, id), retryAfter(response)
	if response.Header.Get("Carawayhold-Replayed") == "true" && a.result == resultForeign {
		// A stored answer repeats the identifier of the first submission.
		a.result = resultWhole
	}
	return a
}

func retryAfter(response *http.Response) time.Duration {
	units, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(units) * retryAfterUnits
}

func judge(response *http.Response, content []byte, id string) result {
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
	if err := json.Unmarshal(content, &document); err != nil || !document.Complete() {
		return resultPartial
	}
	if document.RequestID != id {
		return resultForeign
	}
	return resultWhole
}
