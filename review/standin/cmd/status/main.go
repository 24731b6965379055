// Command status shows what becomes of a failure that an endpoint answers with 503 after
// it has run the request, without stating that it has not.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/scene"
)

const (
	work     = 30 * time.Millisecond
	budget   = 3 * time.Second
	requests = 60
)

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/book/", Kind: "unsafe", Service: "lager", Attempts: 2, TimeoutS: 2.5})
	failing := func(c *endpoint.Call) bool {
		c.Run()
		time.Sleep(work)
		if s.Trouble {
			s.Log.Printf("endpoint %s: request %s has run and fails with 503", c.Endpoint.ID, c.ID)
			return c.Answer(http.StatusServiceUnavailable, "failed")
		}
		return c.Answer(http.StatusOK, endpoint.Content(c.ID))
	}
	for i := range 4 {
		h := endpoint.Serve(work)
		if i == 0 {
			h = failing
		}
		if _, err := s.Endpoint(fmt.Sprintf("i-%d", i), "lager", string("abc"[i%3]), 4, h); err != nil {
			return false, err
		}
	}
	if err := s.StartFleet(3, 0); err != nil {
		return false, err
	}
	broken := 0
	for i := range requests {
		id := s.ID()
		a := s.Call(s.Fleet.Machines[i%3].Front, http.MethodPost, "/book/x", id, budget, "order")
		s.Log.Printf("client: request %s: %s", id, a)
		switch a.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs := s.Runs.Of(id); len(runs) > 0 {
				broken++
				s.Log.Printf("request %s: answered %d although it ran at %s", id, a.Status, runs[0].Endpoint)
			}
		}
	}
	s.Log.Result("%d of %d requests that may run once were answered 429, 503, 408 or 421 although they had run", broken, requests)
	return broken > 0, nil
}

func main() { scene.Main(run) }
