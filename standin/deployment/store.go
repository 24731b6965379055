package deployment

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/carawayhold/objects/"
	// pageItems bounds a page of a list.
	pageItems = 500
)

// metadata is that of an object of the store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	at      uint64
}

// Fault is what the store does to the calls of a machine.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultBusy answers 503 without doing anything.
	FaultBusy
	// FaultMany answers 429.
	FaultMany
	// FaultReset closes the connection.
	FaultReset
	// FaultSilent never answers.
	FaultSilent
	// FaultLost does what is asked and does not answer.
	FaultLost
)

// Store is the platform's object store. It is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}

	mu       sync.Mutex
	revision uint64
	kept     uint64 // history before this revision is gone
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	faults   map[string]Fault // by machine; "" is all
	delay    time.Duration
	calls    int
}

// StartStore starts a store on a loopback port.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: listener, done: make(chan struct{}), revision: 1, kept: 1,
		objects: map[string]map[string]object{}, changed: make(chan struct{}), faults: map[string]Fault{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's IP address and port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store and its connections.
func (s *Store) Close() {
	close(s.done)
	_ = s.server.Close()
}

// SetFault sets the fault of all calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[""] = f
}

// SetDelay sets the time that each answer takes.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Compact forgets the history and cuts waiting watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.revision
	s.history = nil
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object without a condition, as operators and endpoints do.
func (s *Store) Put(kind, name string, spec, status any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec, o.Status = encode(spec), encode(status)
	s.write(kind, o)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

func encode(v any) json.RawMessage {
	if raw, ok := v.(json.RawMessage); ok {
		return raw
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (s *Store) write(kind string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, Object: o, at: s.revision})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.history = append(s.history, event{kind: kind, Object: o, Deleted: true, at: s.revision})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, delay := s.faults[""], s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultMany:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		s.hang(r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if fault == FaultLost && r.Method != http.MethodGet {
		s.serveWrite(discard{}, r, kind, name)
		s.hang(r)
		return
	}
	switch {
	case r.Method != http.MethodGet:
		s.serveWrite(w, r, kind, name)
	case r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	default:
		s.serveRead(w, r, kind, name)
	}
}

// discard drops an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// hang waits until the caller or the store has gone.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, found := s.objects[kind][name]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, o)
		return
	}
	after := r.URL.Query().Get("after")
	names := make([]string, 0, len(s.objects[kind]))
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	names = names[:min(len(names), pageItems)]
	items := make([]object, len(names))
	for i, n := range names {
		items[i] = s.objects[kind][n]
	}
	reply(w, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if since < s.kept {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.objects[kind][name]
	expected := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found, found && expected != 0 && expected != held.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		reply(w, held)
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, held)
	default:
		o.Metadata.Name, o.Metadata.Created = name, held.Metadata.Created
		reply(w, s.write(kind, o))
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
