// Package endpoint is a stand-in of an endpoint (PROTOCOL.md, "Endpoints").
package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/store"
)

// Run is one request that an endpoint began to work on.
type Run struct {
	ID, Endpoint, Method, Target, Body string
	At                                 time.Time
}

// Runs collects the runs of all endpoints. It is safe for concurrent use.
type Runs struct {
	mu   sync.Mutex
	list []Run
}

// All returns all runs so far.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.list...)
}

// Of returns the runs of one request.
func (r *Runs) Of(id string) []Run {
	var list []Run
	for _, v := range r.All() {
		if v.ID == id {
			list = append(list, v)
		}
	}
	return list
}

// Call is a request at an endpoint and its connection.
type Call struct {
	Endpoint *Endpoint
	Conn     net.Conn
	Number   int // of the request on its connection, from 1
	ID       string
	Method   string
	Target   string
	Body     string
}

// Run records that the endpoint begins to work on the request.
func (c *Call) Run() {
	r := c.Endpoint.runs
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, Run{
		ID: c.ID, Endpoint: c.Endpoint.ID, Method: c.Method, Target: c.Target, Body: c.Body, At: time.Now(),
	})
}

// Stamp returns the receipt of the endpoint for the request.
func (c *Call) Stamp() string { return c.Endpoint.ID + "." + c.ID }

// Answer writes an answer of the endpoint with its receipt.
func (c *Call) Answer(status int, body string) bool {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), c.ID, c.Stamp(), len(body), body)
	return err == nil
}

// Handler answers a request and reports whether the connection stays open.
type Handler func(c *Call) bool

// Serve returns a handler that works on each request for a time.
func Serve(work time.Duration) Handler {
	return func(c *Call) bool {
		c.Run()
		time.Sleep(work)
		return c.Answer(http.StatusOK, Content(c.ID))
	}
}

// Content is the body of the answer to a request.
func Content(id string) string { return "the answer to " + id }

// Endpoint is one boot of an endpoint. It is safe for concurrent use.
type Endpoint struct {
	ID, Service, Zone string
	Slots             int
	// Misdirected answers requests that expect another instance, unless it is nil. It is
	// set before the endpoint is registered.
	Misdirected Handler
	born        int64
	runs        *Runs
	listener    net.Listener

	mu      sync.Mutex
	handler Handler
	conns   map[net.Conn]bool
	seq     int
	stop    chan struct{}
}

// Start starts an endpoint on a loopback address.
func Start(id, service, zone string, slots int, runs *Runs, h Handler) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return StartOn(l, id, service, zone, slots, runs, h), nil
}

// StartOn starts an endpoint on a listener.
func StartOn(l net.Listener, id, service, zone string, slots int, runs *Runs, h Handler) *Endpoint {
	e := &Endpoint{
		ID: id, Service: service, Zone: zone, Slots: slots, born: time.Now().UnixMilli(), runs: runs, listener: l,
		handler: h, conns: map[net.Conn]bool{}, stop: make(chan struct{}),
	}
	go e.accept()
	return e
}

// Address returns the registered address.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Register writes the entry of the endpoint with the next number.
func (e *Endpoint) Register(s *store.Store, state string) {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	s.Put("servers", e.ID, map[string]any{
		"address": e.Address(), "born": e.born,
		"info":   map[string]any{"service": e.Service, "version": "v1", "zone": e.Zone, "slots": e.Slots},
		"status": map[string]any{"state": state, "seq": seq, "warmup_left_s": 0},
	})
}

// SetHandler replaces the handler.
func (e *Endpoint) SetHandler(h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = h
}

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			e.serve(conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

func (e *Endpoint) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c := &Call{
			Endpoint: e, Conn: conn, Number: n, ID: r.Header.Get("Carawayhold-Request-Id"),
			Method: r.Method, Target: r.RequestURI, Body: string(body),
		}
		if expected := r.Header.Get("Carawayhold-Expect-Instance"); expected != "" && expected != e.ID {
			if e.Misdirected != nil {
				if !e.Misdirected(c) {
					return
				}
				continue
			}
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.ID, e.ID)
			continue
		}
		e.mu.Lock()
		h := e.handler
		e.mu.Unlock()
		if !h(c) {
			return
		}
	}
}
