package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/standin/timer"
)

const (
	maxValueBytes = 1 << 20 // the platform's limit
	maxWatch      = 60 * time.Second
)

// callCounts is the response body of GET /calls. It counts the calls that the platform
// bills.
type callCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type api struct {
	store     *store
	inventory *inventory
	faults    *faults

	reads, writes, watches atomic.Int64
}

func newAPI(store *store, inventory *inventory, faults *faults) *api {
	return &api{store: store, inventory: inventory, faults: faults}
}

func (a *api) routes() http.Handler {
	router := chi.NewRouter()
	router.Group(func(faulty chi.Router) {
		faulty.Use(a.withFaults)
		faulty.Get("/objects", a.list)
		faulty.Get("/objects/*", a.get)
		faulty.Put("/objects/*", a.put)
		faulty.Get("/watch", a.watch)
		faulty.Get("/vms", a.vms)
	})
	router.Post("/vms", a.setVMs)
	router.Post("/faults", a.setFaults)
	router.Get("/calls", a.calls)
	return router
}

func (a *api) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		settings := a.faults.current()
		if settings.Silent {
			<-r.Context().Done()
			return
		}
		if settings.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !timer.Wait(r.Context(), a.faults.delay()) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) get(w http.ResponseWriter, r *http.Request) {
	a.reads.Add(1)
	object, ok := a.store.get(chi.URLParam(r, "*"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (a *api) put(w http.ResponseWriter, r *http.Request) {
	a.writes.Add(1)
	expect, err := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect must be the version that the object has, 0 for none", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "a value has at most 1048576 bytes", http.StatusRequestEntityTooLarge)
		return
	}
	name := chi.URLParam(r, "*")
	version, ok := a.store.put(name, expect, value)
	if !ok {
		writeJSON(w, http.StatusConflict, platform.Object{Name: name, Version: version})
		return
	}
	if a.faults.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, platform.Object{Name: name, Version: version})
}

func (a *api) list(w http.ResponseWriter, r *http.Request) {
	a.reads.Add(1)
	after, ok := afterParam(w, r)
	if !ok {
		return
	}
	listing, _ := a.store.list(r.URL.Query().Get("prefix"), after)
	writeJSON(w, http.StatusOK, listing)
}

func (a *api) watch(w http.ResponseWriter, r *http.Request) {
	a.watches.Add(1)
	after, ok := afterParam(w, r)
	if !ok {
		return
	}
	seconds, err := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	if err != nil || seconds < 0 {
		http.Error(w, "wait must be a number of seconds", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(seconds*float64(time.Second)), maxWatch)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	listing := a.store.watch(ctx, r.URL.Query().Get("prefix"), after)
	if settings := a.faults.current(); settings.Down || settings.Silent {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, listing)
}

func (a *api) vms(w http.ResponseWriter, _ *http.Request) {
	a.reads.Add(1)
	writeJSON(w, http.StatusOK, a.inventory.at(time.Now().Add(-a.faults.vmLag())))
}

func (a *api) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if !decode(w, r, &vms) {
		return
	}
	a.inventory.set(vms, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (a *api) setFaults(w http.ResponseWriter, r *http.Request) {
	var settings faultSettings
	if !decode(w, r, &settings) {
		return
	}
	a.faults.set(settings)
	w.WriteHeader(http.StatusNoContent)
}

func (a *api) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, callCounts{
		Reads: a.reads.Load(), Writes: a.writes.Load(), Watches: a.watches.Load(),
	})
}

func afterParam(w http.ResponseWriter, r *http.Request) (int64, bool) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a store version", http.StatusBadRequest)
		return 0, false
	}
	return after, true
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is already sent, so an error can only show as a truncated body.
	_ = json.NewEncoder(w).Encode(document)
}

func decode(w http.ResponseWriter, r *http.Request, document any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		http.Error(w, "cannot read the document: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
