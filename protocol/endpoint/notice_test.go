package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

func TestNoticeOfResponse(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	dialect := NewDialect("X-Id", "X-Deadline", "X-Not-Run", WithLeaving("X-Leaving"), WithRest(), WithInstance("X-Instance"))
	fields := func(pairs ...string) http.Header {
		h := http.Header{}
		for i := 0; i < len(pairs); i += 2 {
			h.Add(pairs[i], pairs[i+1])
		}
		return h
	}
	cases := map[string]struct {
		status  int
		header  http.Header
		leaving bool
		rest    time.Duration
		invalid bool
	}{
		"nothing":                   {status: 200, header: fields()},
		"leaving":                   {status: 200, header: fields("X-Leaving", "1"), leaving: true},
		"leaving, rejected":         {status: 503, header: fields("X-Leaving", "1", "X-Not-Run", "1"), leaving: true},
		"leaving, failed":           {status: 500, header: fields("X-Leaving", " 1 "), leaving: true},
		"one of several":            {status: 404, header: fields("X-Leaving", "0", "X-Leaving", "1"), leaving: true},
		"not leaving":               {status: 200, header: fields("X-Leaving", "0")},
		"garbage":                   {status: 200, header: fields("X-Leaving", "yes"), invalid: true},
		"empty":                     {status: 200, header: fields("X-Leaving", ""), invalid: true},
		"garbage beside leaving":    {status: 200, header: fields("X-Leaving", "x", "X-Leaving", "1"), leaving: true, invalid: true},
		"of another process":        {status: 421, header: fields("X-Leaving", "1", "Retry-After", "3")},
		"rest":                      {status: 503, header: fields("Retry-After", "3"), rest: 3 * time.Second},
		"rest, not run":             {status: 503, header: fields("Retry-After", "3", "X-Not-Run", "1"), rest: 3 * time.Second},
		"rest beside garbage":       {status: 503, header: fields("Retry-After", "3", "X-Leaving", "?"), rest: 3 * time.Second, invalid: true},
		"rate, not run":             {status: 429, header: fields("Retry-After", "1", "X-Not-Run", "1"), rest: time.Second},
		"of the application":        {status: 429, header: fields("Retry-After", "1")},
		"success":                   {status: 200, header: fields("Retry-After", "9")},
		"redirect":                  {status: 301, header: fields("Retry-After", "9")},
		"fraction":                  {status: 503, header: fields("Retry-After", "0.25"), rest: 250 * time.Millisecond},
		"zero":                      {status: 503, header: fields("Retry-After", "0")},
		"negative":                  {status: 503, header: fields("Retry-After", "-1"), invalid: true},
		"not a number":              {status: 503, header: fields("Retry-After", "NaN"), invalid: true},
		"infinite":                  {status: 503, header: fields("Retry-After", "Inf"), invalid: true},
		"word":                      {status: 503, header: fields("Retry-After", "soon"), invalid: true},
		"no value":                  {status: 503, header: fields("Retry-After", ""), invalid: true},
		"huge":                      {status: 503, header: fields("Retry-After", "1e300"), rest: MaxRest},
		"beyond a float64":          {status: 503, header: fields("Retry-After", "1e999"), rest: MaxRest},
		"longest of several":        {status: 503, header: fields("Retry-After", "1", "Retry-After", "4", "Retry-After", "2"), rest: 4 * time.Second},
		"one of several is invalid": {status: 503, header: fields("Retry-After", "x", "Retry-After", "2"), rest: 2 * time.Second, invalid: true},
		"date":                      {status: 503, header: fields("Retry-After", "Fri, 02 Jan 2026 03:04:12 GMT"), rest: 7 * time.Second},
		"date, other clock":         {status: 503, header: fields("Retry-After", "Fri, 02 Jan 2026 05:04:12 GMT", "Date", "Fri, 02 Jan 2026 05:04:10 GMT"), rest: 2 * time.Second},
		"date in the past":          {status: 503, header: fields("Retry-After", "Fri, 02 Jan 2026 03:04:00 GMT")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n, err := dialect.noticeOf(&http.Response{StatusCode: c.status, Header: c.header}, now)
			require.Equal(t, c.invalid, err != nil)
			if err != nil {
				require.ErrorIs(t, err, ErrNotice)
			}
			want := Notice{Leaving: c.leaving}
			if c.rest > 0 {
				want.RestUntil = now.Add(c.rest)
			}
			require.Equal(t, want, n)
		})
	}
	n, err := NewDialect("X-Id", "X-Deadline", "X-Not-Run").noticeOf(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: fields("Retry-After", "3", "X-Leaving", "1")}, now)
	require.NoError(t, err)
	require.Zero(t, n, "a dialect without these fields")
}

// recordingGate keeps the notices of an endpoint.
type recordingGate struct {
	mu      sync.Mutex
	closed  bool
	notices []Notice
}

var errGateClosed = eris.New("closed")

func (g *recordingGate) Admit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errGateClosed
	}
	return nil
}

func (g *recordingGate) ObserveNotice(n Notice, _ error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notices = append(g.notices, n)
}

func (g *recordingGate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.notices)
}

// noticeGet returns a repeatable request through the gate in a dialect with notices.
func noticeGet(gate Gate) *Request {
	r := get("id-1")
	r.rules = r.rules.WithDialect(NewDialect("X-Request-Id", "X-Deadline-Ms", "X-Not-Run", WithLeaving("X-Leaving"), WithRest()))
	return r.WithGate(gate)
}

// A notice counts as soon as the head has arrived, whatever becomes of the response.
func TestNoticeIsObservedBeforeTheBody(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\r\nX-Request-Id: id-1\r\nX-Leaving: 1\r\nRetry-After: 2\r\nContent-Length: 10\r\n\r\n"
	for name, rest := range map[string]string{"no body": "", "part of the body": "body", "whole": "0123456789", "too much": "0123456789more"} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if _, _, ok := b.read(reader); ok {
					_, _ = io.WriteString(conn, head+rest)
					waitUntilClosed(reader)
				}
			})
			gate := &recordingGate{}
			doWithin(t, newTestClient(t, b.address(), WithSingleAttempt()), noticeGet(gate), 300*time.Millisecond)
			require.Equal(t, 1, gate.count())
			require.True(t, gate.notices[0].Leaving)
			require.False(t, gate.notices[0].RestUntil.IsZero())
		})
	}
}

// A request that its gate does not admit is not written, also if the gate closes while the
// connection is sought.
func TestWithheldRequestIsNotWritten(t *testing.T) {
	b := startBackend(t, answerAll)
	client := newTestClient(t, b.address())
	gate := &recordingGate{closed: true}
	result := do(t, client, noticeGet(gate))
	require.ErrorIs(t, result.Err(), ErrWithheld)
	require.True(t, result.NotRun())
	require.False(t, result.Wrote())
	require.Equal(t, KindNone, result.Kind())
	accepted, requests, _ := b.counts()
	require.Zero(t, accepted)
	require.Zero(t, requests)

	late := &closingGate{}
	result = do(t, client, noticeGet(late))
	require.ErrorIs(t, result.Err(), ErrWithheld)
	require.True(t, result.NotRun())
	_, requests, _ = b.counts()
	require.Zero(t, requests)

	gate.closed = false
	result = do(t, client, noticeGet(gate))
	require.NoError(t, result.Err())
}

// closingGate admits once.
type closingGate struct {
	recordingGate
	asked int
}

func (g *closingGate) Admit() error {
	g.asked++
	if g.asked > 1 {
		return errGateClosed
	}
	return nil
}
