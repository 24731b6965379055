package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath  = "/carawayhold/objects/"
	maxPageItems = 500     // objects in one page of a list
	maxPageBytes = 1 << 20 // after which a page ends
	eraHeader    = "Store-Era"
)

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
	object  object
	deleted bool
	at      uint64
}

// Fault is a failure that the store injects into its API calls.
type Fault uint8

// Faults of the store.
const (
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503 and executes nothing.
	FaultUnavailable
	// FaultTooManyRequests responds with status 429 and executes nothing.
	FaultTooManyRequests
	// FaultReset closes the connection and executes nothing.
	FaultReset
	// FaultNoResponse executes nothing and never responds.
	FaultNoResponse
	// FaultResponseLost executes writes and never responds to them.
	FaultResponseLost
)

// Store simulates the platform's object store. It is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}

	mu       sync.Mutex
	era      uint64 // rises with each restore
	revision uint64
	oldest   uint64 // watches since an earlier revision fail with status 410
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	faults   map[string]Fault // the key "" applies to all callers
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
		listener: listener, done: make(chan struct{}), era: 1, revision: 1, oldest: 1,
		objects: map[string]map[string]object{}, changed: make(chan struct{}), faults: map[string]Fault{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the IP address and port on which the store listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Store) Close() {
	close(s.done)
	_ = s.server.Close()
}

// SetFault sets the fault of all later calls; [FaultNone] ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[""] = f
}

// SetDelay sets the delay before each call is handled.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Compact deletes the event history. Watches since an earlier revision, also those
// that wait, fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.history = nil
	s.notifyWatches()
}

// Calls returns the number of API calls since the start.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object regardless of its revision, as operators and backend servers do.
func (s *Store) Put(kind, name string, spec, status any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec, o.Status = encode(spec), encode(status)
	s.write(kind, o)
}

// Remove deletes an object if it exists.
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

// rawObject returns the JSON of an object. The content of its spec and status is not checked:
// encoding/json rejects values of more than 10,000 levels, which other writers may leave in a
// real store.
func rawObject(o object) []byte {
	return fmt.Appendf(nil, `{"metadata":%s,"spec":%s,"status":%s}`, encode(o.Metadata), rawValue(o.Spec), rawValue(o.Status))
}

func rawValue(value json.RawMessage) []byte {
	if len(value) == 0 {
		return []byte("null")
	}
	return value
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
	s.history = append(s.history, event{kind: kind, object: o, at: s.revision})
	s.notifyWatches()
	return o
}

func (s *Store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.history = append(s.history, event{kind: kind, object: o, deleted: true, at: s.revision})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements [http.Handler].
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, delay := s.faults[""], s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	s.setEra(w)
	s.mu.Unlock()
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		s.hang(r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if fault == FaultResponseLost && r.Method != http.MethodGet {
		s.serveWrite(discardResponse{}, r, kind, name)
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

// discardResponse is a response writer that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// hang blocks until the caller disconnects or the store closes, then aborts the response.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}

// setEra adds the era to the header of a response. The mutex must be held, so that the era
// is that of the content.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if name != "" {
		o, found := s.objects[kind][name]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, o)
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
	var items [][]byte
	size := 0
	for _, n := range names {
		if len(items) == maxPageItems || size >= maxPageBytes {
			break
		}
		item := rawObject(s.objects[kind][n])
		items, size = append(items, item), size+len(item)
	}
	more := len(items) < len(names)
	writeRaw(w, fmt.Appendf(nil, `{"items":[%s],"has_more":%t,"current_rev":%d}`, bytes.Join(items, []byte(",")), more, s.revision))
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.setEra(w)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since < s.oldest || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events [][]byte
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, rawObject(e.object), e.deleted))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeEvents(w, events, revision)
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
	s.setEra(w)
	existing, found := s.objects[kind][name]
	expected := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found, found && expected != 0 && expected != existing.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, existing)
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		writeJSON(w, existing)
	default:
		o.Metadata.Name, o.Metadata.Created = name, existing.Metadata.Created
		writeJSON(w, s.write(kind, o))
	}
}

func writeEvents(w http.ResponseWriter, events [][]byte, revision uint64) {
	writeRaw(w, fmt.Appendf(nil, `{"events":[%s],"current_rev":%d}`, bytes.Join(events, []byte(",")), revision))
}

func writeRaw(w http.ResponseWriter, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
