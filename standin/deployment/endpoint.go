package deployment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Header fields of requests and responses.
const (
	HeaderRequestID      = "Carawayhold-Request-Id"
	HeaderDeadline       = "Carawayhold-Deadline-Ms"
	HeaderNotExecuted    = "Carawayhold-Not-Executed"
	HeaderExpectInstance = "Carawayhold-Expect-Instance"
	HeaderStamp          = "Carawayhold-Server-Stamp"
	HeaderRateLimit      = "Server-Limit"
)

// Behaviour determines how an endpoint responds.
type Behaviour struct {
	// ProcessingTime is the time from a request to its response.
	ProcessingTime time.Duration
	// Each ratio is the share of requests, from 0 to 1, with one kind of fault: a
	// response with status 500, rejection as overloaded, no response, a connection
	// reset after processing, a truncated response, or a second response that
	// belongs to no request.
	FailRatio, ShedRatio, HangRatio, ResetRatio, TruncateRatio, ExtraResponseRatio float64
	// LateCopyRatio is the share of responses, and LateRefusalRatio that of refusals, that
	// are sent a second time when the next request arrives on the connection.
	LateCopyRatio, LateRefusalRatio float64
	// EarlyRefusalRatio is the share of requests with a body that are rejected as
	// overloaded before the body is read; it is read afterwards.
	EarlyRefusalRatio float64
	// EarlyResetRatio is the share of requests with a body that get, before it is read, a part of
	// a success without a length and then a reset.
	EarlyResetRatio float64
	// InvalidHeadRatio is the share of successes whose head violates the grammar.
	InvalidHeadRatio float64
	// OmitRefusalID leaves the request identifier out of refusals.
	OmitRefusalID bool
	// Rest is the kind of rejection that asks for a pause.
	Rest Rest
	// HeadCutRatio is the share of requests whose response ends in the middle of its head.
	HeadCutRatio float64
	// OmitContentLength ends each response by closing the connection, SplitPause after the
	// first half of the body.
	OmitContentLength bool
	SplitPause        time.Duration
	// ContentRepeats is the number of times that the content of a success is repeated beyond
	// the first; see [Content].
	ContentRepeats int
	// IdleTimeout is the time after which an idle connection is closed; 0 disables it.
	IdleTimeout time.Duration
}

// Execution is one request that an endpoint started to process.
type Execution struct {
	RequestID, Endpoint, Service, Method, Target, Body string
	Deadline                                           int64 // as received, in milliseconds
	StartedAt                                          time.Time
	Completed                                          bool // processing was not aborted by the end of the connection
	Early                                              bool // the body was not read
	EndedAt                                            time.Time
}

// ExecutionLog records the requests that endpoints processed. It is safe for
// concurrent use.
type ExecutionLog struct {
	mu        sync.Mutex
	byRequest map[string][]*Execution
	late      map[string]int // by endpoint: executions that started after its drain deadline
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{byRequest: map[string][]*Execution{}, late: map[string]int{}}
}

// Executions returns the executions of a request at all endpoints.
func (l *ExecutionLog) Executions(id string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Execution, 0, len(l.byRequest[id]))
	for _, r := range l.byRequest[id] {
		list = append(list, *r)
	}
	return list
}

// CountByRequest returns the number of executions by request identifier.
func (l *ExecutionLog) CountByRequest() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.byRequest))
	for id, executions := range l.byRequest {
		counts[id] = len(executions)
	}
	return counts
}

// StartTimes returns the times at which an endpoint started to process requests, in order.
func (l *ExecutionLog) StartTimes(endpoint string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Time
	for _, executions := range l.byRequest {
		for _, r := range executions {
			if r.Endpoint == endpoint {
				times = append(times, r.StartedAt)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// LateRequests returns, by endpoint, the number of requests that a draining endpoint
// started to process after its deadline; see [Endpoint.Drain].
func (l *ExecutionLog) LateRequests() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for id, n := range l.late {
		counts[id] = n
	}
	return counts
}

// Endpoint is a simulated backend server. It is safe for concurrent use.
type Endpoint struct {
	id, service, zone string
	slots             int
	executions        *ExecutionLog
	listener          net.Listener
	group             sync.WaitGroup
	reports           atomic.Uint64 // states written to the store

	mu            sync.Mutex
	behaviour     Behaviour
	limits        []*RateLimitPeriod
	leaving       bool
	arrivals      []*Arrival
	inFlight      int
	connections   map[net.Conn]bool
	accepted      int
	drainDeadline time.Time // executions that start later are recorded as late
}

// StartEndpoint starts an endpoint on a loopback port. The caller registers it with
// [Endpoint.Register].
func StartEndpoint(id, service, zone string, slots int, b Behaviour, l *ExecutionLog) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		id: id, service: service, zone: zone, slots: slots, behaviour: b, executions: l,
		listener: listener, connections: map[net.Conn]bool{},
	}
	e.group.Go(e.accept)
	return e, nil
}

// ID returns the name under which the endpoint registers.
func (e *Endpoint) ID() string { return e.id }

// Address returns the IP address and port on which the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// AcceptedConnections returns the number of connections accepted since the start.
func (e *Endpoint) AcceptedConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

// SetBehaviour takes effect with the next request.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Register writes the endpoint's entry to the store. The address may be that of a
// relay in front of the endpoint.
func (e *Endpoint) Register(s *Store, address, state string) {
	s.Put("servers", e.id, map[string]any{
		"address": address, "born": int64(1),
		"info":   map[string]any{"service": e.service, "zone": e.zone, "slots": e.slots, "version": "v1"},
		"status": map[string]any{"state": state, "seq": e.reports.Add(1), "warmup_left_s": 0},
	}, nil)
}

// Drain reports the state draining to the store. Requests that it starts to process
// later than the timeout are recorded as late.
func (e *Endpoint) Drain(s *Store, address string, timeout time.Duration) {
	e.Register(s, address, "draining")
	e.SetDrainDeadline(time.Now().Add(timeout))
}

// SetDrainDeadline sets the time from which requests are recorded as late. The zero time
// ends that.
func (e *Endpoint) SetDrainDeadline(t time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainDeadline = t
}

// Close closes the listener and all connections and waits for the handlers.
func (e *Endpoint) Close() { e.end(false) }

// Crash is Close with resets of the connections: a response without a length that an endpoint
// ends with a plain close cannot be told from a whole one.
func (e *Endpoint) Crash() { e.end(true) }

func (e *Endpoint) end(reset bool) {
	_ = e.listener.Close()
	e.mu.Lock()
	for c := range e.connections {
		if reset {
			setReset(c)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	e.group.Wait()
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections[conn] = true
		e.accepted++
		e.mu.Unlock()
		e.group.Go(func() {
			e.serve(conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.connections, conn)
			e.mu.Unlock()
		})
	}
}

func (e *Endpoint) currentBehaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// recordingConn keeps the response to the current request.
type recordingConn struct {
	net.Conn
	written []byte
	refused bool // the response is a refusal
}

// Write implements net.Conn.
func (c *recordingConn) Write(b []byte) (int, error) {
	c.written = append(c.written, b...)
	return c.Conn.Write(b)
}

func (e *Endpoint) serve(plain net.Conn) {
	conn := &recordingConn{Conn: plain}
	reader := bufio.NewReader(conn)
	var lateCopy []byte
	for {
		b := e.currentBehaviour()
		if b.IdleTimeout > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(b.IdleTimeout))
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := conn.Write(lateCopy); err != nil {
			return
		}
		conn.written, conn.refused, lateCopy = nil, false, nil
		if r.ContentLength > 0 && rand.Float64() < b.EarlyRefusalRatio {
			arrival, leaving := e.arrive(r.Header.Get(HeaderRequestID))
			rest, pause := restField(b)
			refuse(conn, http.StatusServiceUnavailable, r.Header.Get(HeaderRequestID), leaving+rest+HeaderNotExecuted+": 1\r\n", b)
			e.answered(arrival, pause)
			if rand.Float64() < b.LateRefusalRatio {
				lateCopy = conn.written
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		}
		if r.ContentLength != 0 && rand.Float64() < b.EarlyResetRatio {
			e.resetDuringUpload(conn, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b = e.currentBehaviour()
		if !e.respond(conn, reader, r, string(body), b) {
			return
		}
		ratio := b.LateCopyRatio
		if conn.refused {
			ratio = b.LateRefusalRatio
		}
		if rand.Float64() < ratio {
			lateCopy = conn.written
		}
	}
}

// restField decides whether a request is rejected with a request for a pause, and returns the
// header field and the pause.
func restField(b Behaviour) (string, time.Duration) {
	if b.Rest.Ratio == 0 || rand.Float64() >= b.Rest.Ratio {
		return "", 0
	}
	return HeaderRetryAfter + ": " + b.Rest.RetryAfter + "\r\n", b.Rest.Pause
}

// refuse rejects a request as not executed.
func refuse(conn *recordingConn, status int, id, fields string, b Behaviour) {
	conn.refused = true
	if b.OmitRefusalID {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
		return
	}
	writeResponse(conn, status, id, fields, "")
}

// respond handles one request and reports whether the connection stays open.
func (e *Endpoint) respond(conn *recordingConn, reader *bufio.Reader, r *http.Request, body string, b Behaviour) bool {
	id := r.Header.Get(HeaderRequestID)
	if expected := r.Header.Get(HeaderExpectInstance); expected != "" && expected != e.id {
		refuse(conn, http.StatusMisdirectedRequest, id, "", b)
		return true
	}
	arrival, leaving := e.arrive(id)
	limit := leaving + e.limitField(id)
	rest, pause := restField(b)
	if rest != "" || rand.Float64() < b.ShedRatio || !e.acquireSlot() {
		refuse(conn, http.StatusServiceUnavailable, id, limit+rest+HeaderNotExecuted+": 1\r\n", b)
		e.answered(arrival, pause)
		return true
	}
	defer e.answered(arrival, 0)
	defer e.releaseSlot()
	execution := e.record(r, id, body)
	stamp := limit + HeaderStamp + ": " + e.id + "." + id + "\r\n"
	switch {
	case rand.Float64() < b.FailRatio:
		writeResponse(conn, http.StatusInternalServerError, id, stamp, "failed")
		return true
	case rand.Float64() < b.HangRatio:
		_, _ = reader.Peek(1)
		return false
	}
	if !e.process(conn, reader, b.ProcessingTime+requestedWork(r), execution) {
		return false
	}
	content := strings.Repeat(Content(id), 1+b.ContentRepeats)
	switch {
	case rand.Float64() < b.ResetRatio:
		setReset(conn.Conn)
		return false
	case rand.Float64() < b.TruncateRatio:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			HeaderRequestID, id, stamp, len(content), content[:len(content)/2])
		return false
	case rand.Float64() < b.HeadCutRatio:
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n", HeaderRequestID, id, stamp)
		_, _ = io.WriteString(conn, head[:rand.IntN(len(head))])
		return false
	case b.OmitContentLength:
		middle := len(content) / 2
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", HeaderRequestID, id, stamp, content[:middle])
		time.Sleep(b.SplitPause)
		_, _ = io.WriteString(conn, content[middle:])
		return false
	}
	if rand.Float64() < b.InvalidHeadRatio {
		e.withdrawNotice(arrival)
		writeInvalidHead(conn, id, HeaderStamp+": "+e.id+"."+id+"\r\n", content)
		return true
	}
	writeResponse(conn, http.StatusOK, id, stamp, content)
	if rand.Float64() < b.ExtraResponseRatio {
		writeResponse(conn, http.StatusOK, "extra", stamp, "extra")
	}
	return true
}

// requestedWork returns the time, in milliseconds in the field work of the query, that a
// request takes longer than others.
func requestedWork(r *http.Request) time.Duration {
	millis, _ := strconv.ParseUint(r.URL.Query().Get("work"), 10, 16)
	return time.Duration(millis) * time.Millisecond
}

// Content returns the body of a successful response to the request.
func Content(id string) string { return "content of " + id }

// process waits for the processing time and reports false if the connection ended
// before.
func (e *Endpoint) process(conn net.Conn, reader *bufio.Reader, d time.Duration, execution *Execution) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	completed := err == nil || errors.As(err, &timeout) && timeout.Timeout()
	e.executions.mu.Lock()
	execution.Completed, execution.EndedAt = completed, time.Now()
	e.executions.mu.Unlock()
	return completed
}

func (e *Endpoint) acquireSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight >= 2*e.slots {
		return false
	}
	e.inFlight++
	return true
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Endpoint) record(r *http.Request, id, body string) *Execution {
	deadline, _ := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	execution := &Execution{
		RequestID: id, Endpoint: e.id, Service: e.service, Method: r.Method, Target: r.RequestURI, Body: body,
		Deadline: deadline, StartedAt: time.Now(),
	}
	e.mu.Lock()
	late := !e.drainDeadline.IsZero() && execution.StartedAt.After(e.drainDeadline)
	e.mu.Unlock()
	e.executions.mu.Lock()
	defer e.executions.mu.Unlock()
	e.executions.byRequest[id] = append(e.executions.byRequest[id], execution)
	if late {
		e.executions.late[e.id]++
	}
	return execution
}

func writeResponse(w io.Writer, status int, id, fields, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), HeaderRequestID, id, fields, len(body), body)
}
