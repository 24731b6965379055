// Package store is a stand-in of the platform's metadata store (PROTOCOL.md, "The
// platform's metadata store"). It keeps objects in memory and loses nothing that it has
// acknowledged, except in a restore.
package store

import (
	"encoding/json"
	"maps"
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
	pageItems   = 500
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
	at      uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	down     bool
	era      uint64
	revision uint64
	oldest   uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

// Copy is a backup of the store.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
}

// Start starts a store on a loopback address.
func Start() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: l, era: 1, revision: 1, oldest: 1,
		objects: map[string]map[string]object{}, changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the address for the settings of a process.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object as the operator and the endpoints do.
func (s *Store) Put(kind, name string, spec any) uint64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, b
	return s.write(kind, o).Metadata.Revision
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// Backup returns a copy of the store as it is now.
func (s *Store) Backup() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, objects: cloneObjects(s.objects)}
}

// SetDown makes the store answer every call, also those that wait, with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// Restore brings the store back from a copy: the revisions go back and the era rises.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldest, s.history = c.revision, c.revision, nil
	s.objects = cloneObjects(c.objects)
	s.down = false
	s.notify()
}

func cloneObjects(m map[string]map[string]object) map[string]map[string]object {
	c := map[string]map[string]object{}
	for kind, byName := range m {
		c[kind] = maps.Clone(byName)
	}
	return c
}

func (s *Store) write(kind string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, at: s.revision, Object: o})
	s.notify()
	return o
}

func (s *Store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.history = append(s.history, event{kind: kind, at: s.revision, Object: o, Deleted: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements [http.Handler].
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case s.down:
		s.reply(w, http.StatusServiceUnavailable, nil)
	case r.Method != http.MethodGet:
		s.serveWrite(w, r, kind, name)
	case r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case name != "":
		o, found := s.objects[kind][name]
		if !found {
			s.reply(w, http.StatusNotFound, nil)
			return
		}
		s.reply(w, http.StatusOK, o)
	default:
		s.serveList(w, r, kind)
	}
}

func (s *Store) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	var names []string
	for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if n > after {
			names = append(names, n)
		}
	}
	more := len(names) > pageItems
	items := []object{}
	for _, n := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][n])
	}
	s.reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

// serveWatch answers as soon as there is an event. The mutex is held, but not while it
// waits.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		if s.down {
			s.reply(w, http.StatusServiceUnavailable, nil)
			return
		}
		if since < s.oldest || since > s.revision {
			s.reply(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		if len(events) > 0 || expired {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			s.reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	name = strings.TrimSuffix(name, "/status")
	if name == "" {
		name = o.Metadata.Name
	}
	existing, found := s.objects[kind][name]
	expected := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found, found && expected != 0 && expected != existing.Metadata.Revision:
		s.reply(w, http.StatusConflict, existing)
	case r.Method != http.MethodPost && !found:
		s.reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		s.reply(w, http.StatusOK, existing)
	default:
		o.Metadata.Name, o.Metadata.Created = name, existing.Metadata.Created
		s.reply(w, http.StatusOK, s.write(kind, o))
	}
}
