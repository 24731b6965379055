// Command restored shows what a drill of the store does to an endpoint that has left. The
// endpoint never reports draining: its entry is removed, and it goes on serving for some
// seconds. The store is away for a moment then and comes back from a copy in which the
// endpoint still has its entry.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/scene"
)

const (
	machines = 9
	work     = 250 * time.Millisecond
	budget   = 3 * time.Second
	// drain is drain_s of the settings.
	drain = 2 * time.Second
	// stable is stable_window_s of the settings.
	stable = 3 * time.Second
	// away is the time for which the store is away in the drill.
	away = 2 * time.Second
	// lapse is three ping intervals (heartbeat_s 1.5), after which the store removes the
	// entry of an endpoint that does not report any more.
	lapse = 4500 * time.Millisecond
	// serving is the time after the return of the store at which the leaving endpoint
	// exits, 8.5 s after its drain_s.
	serving = 4 * time.Second
)

// departure is what became of one endpoint that left.
type departure struct {
	leaving       *endpoint.Endpoint
	removed, back time.Time
}

// rounds is the number of endpoints that leave, each with a drill after it.
const rounds = 3

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/book/", Kind: "unsafe", Service: "lager", Attempts: 2, TimeoutS: 2.5})
	for i := range 3 {
		if _, err := s.Endpoint(fmt.Sprintf("i-stays-%d", i), "lager", string("abc"[i%3]), 4, endpoint.Serve(work)); err != nil {
			return false, err
		}
	}
	if err := s.StartFleet(machines, 0); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var served sync.Map // identifiers of requests that were answered with success
	for i := range machines {
		group.Go(func() { callers(s, i, stop, &served) })
	}
	var list []departure
	for n := range rounds {
		d, err := leave(s, n)
		if err != nil {
			return false, err
		}
		list = append(list, d)
	}
	close(stop)
	group.Wait()
	late, inTouch, lost := 0, 0, 0
	for _, r := range s.Runs.All() {
		for _, d := range list {
			if r.Endpoint != d.leaving.ID || !r.At.After(d.removed.Add(drain)) {
				continue
			}
			late++
			if _, answered := served.Load(r.ID); !answered {
				lost++
			}
			if s.Trouble && r.At.After(d.back.Add(stable)) {
				inTouch++
			}
			s.Log.Printf("request %s ran at %s %.2f s after the removal of its entry", r.ID, r.Endpoint, r.At.Sub(d.removed).Seconds())
		}
	}
	for _, m := range s.Fleet.Machines {
		for _, line := range m.LogLines("i-leaves") {
			s.Log.Printf("log of %s: %.600s", m.Name, line)
		}
	}
	s.Log.Result("%d runs at endpoints that had left, later than drain_s after the removal of their entries; %d of these more than stable_window_s after the return of the store; the callers of %d of the late runs got no success",
		late, inTouch, lost)
	// Only machines in touch count, so not those of the time up to stable_window_s after the
	// disturbance of the store. Without it, all do.
	if s.Trouble {
		return inTouch > 0, nil
	}
	return late > 0, nil
}

// leave starts an endpoint, lets it leave, and brings the store back from a copy that still
// has its entry.
func leave(s *scene.Scene, n int) (departure, error) {
	leaving, err := s.Endpoint(fmt.Sprintf("i-leaves-%d", n), "lager", "a", 4, endpoint.Serve(work))
	if err != nil {
		return departure{}, err
	}
	d := departure{leaving: leaving}
	time.Sleep(3 * time.Second)
	backup := s.Store.Backup()
	s.Log.Printf("store: the copy for the drill is made")
	time.Sleep(500 * time.Millisecond)
	s.Store.Remove("servers", leaving.ID)
	d.removed = time.Now()
	s.Log.Printf("endpoint %s: leaves without reporting draining, its entry is removed", leaving.ID)
	time.Sleep(drain + 2500*time.Millisecond)
	if s.Trouble {
		s.Store.SetDown(true)
		s.Log.Printf("store: away")
		time.Sleep(away)
		s.Store.Restore(backup)
		d.back = time.Now()
		s.Log.Printf("store: back from the copy, with the entries %v", s.Store.Names("servers"))
	} else {
		time.Sleep(away)
	}
	time.Sleep(serving)
	leaving.Close()
	s.Log.Printf("endpoint %s: exits", leaving.ID)
	time.Sleep(lapse - serving)
	if s.Trouble {
		s.Store.Remove("servers", leaving.ID)
		s.Log.Printf("store: the entry of %s has lapsed again", leaving.ID)
	}
	time.Sleep(1500 * time.Millisecond)
	return d, nil
}

// callers sends requests to one machine until stop.
func callers(s *scene.Scene, machine int, stop <-chan struct{}, served *sync.Map) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		id := s.ID()
		a := s.Call(s.Fleet.Machines[machine].Front, http.MethodPost, "/book/x", id, budget, "order")
		s.Log.Printf("client %d: request %s: %s", machine, id, a)
		if a.Status == http.StatusOK {
			served.Store(id, true)
		}
	}
}

func main() { scene.Main(run) }
