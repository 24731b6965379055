// Command pipelinedstop shows what becomes of an answer that is ready when a machine is
// stopped while an earlier request of the connection is still at work.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/client"
	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/scene"
)

const (
	machines = 3
	clients  = 6
	// budget and longWork are the time budget and the longest work of kind clinic-slots. The
	// first request of a connection takes longWork, the second one shortWork.
	budget    = 6 * time.Second
	longWork  = 5400 * time.Millisecond
	shortWork = 100 * time.Millisecond
	// beforeStop is the time between the requests and the SIGTERM.
	beforeStop = 50 * time.Millisecond
	grace      = 6 * time.Second
)

// work records when endpoints ended their work on requests.
type work struct {
	mu    sync.Mutex
	ended map[string]time.Time
}

func (w *work) handle(c *endpoint.Call) bool {
	c.Run()
	if strings.HasPrefix(c.Target, "/read/long") {
		time.Sleep(longWork)
	} else {
		time.Sleep(shortWork)
	}
	ok := c.Answer(http.StatusOK, endpoint.Content(c.ID))
	if ok {
		w.mu.Lock()
		w.ended[c.ID] = time.Now()
		w.mu.Unlock()
	}
	return ok
}

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/read/", Kind: "safe", Service: "schedule", Attempts: 2, TimeoutS: 6})
	w := &work{ended: map[string]time.Time{}}
	for i := range 6 {
		if _, err := s.Endpoint(fmt.Sprintf("i-%d", i), "schedule", string("abc"[i%3]), 4, w.handle); err != nil {
			return false, err
		}
	}
	if err := s.StartFleet(machines, 0); err != nil {
		return false, err
	}
	m := s.Fleet.Machines[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	var stopped time.Time
	for i := range clients {
		c, err := client.Dial(m.Front)
		if err != nil {
			return false, err
		}
		first, second := s.ID(), s.ID()
		if err := c.Send(http.MethodGet, scene.Host, "/read/long", first, budget, ""); err != nil {
			return false, err
		}
		if err := c.Send(http.MethodGet, scene.Host, "/read/short", second, budget, ""); err != nil {
			return false, err
		}
		s.Log.Printf("client %d: requests %s (long) and %s (short) sent on one connection to %s", i, first, second, m.Name)
		group.Go(func() {
			defer c.Close()
			for _, id := range []string{first, second} {
				a := c.Receive(http.MethodGet, budget)
				now := time.Now()
				s.Log.Printf("client %d: request %s: %s", i, id, a)
				w.mu.Lock()
				ended, done := w.ended[id]
				w.mu.Unlock()
				if a.Err == nil || !done {
					continue
				}
				mu.Lock()
				lost++
				s.Log.Printf("request %s: its endpoint had answered %.2f s after the SIGTERM, the connection ended %.2f s after it without the answer",
					id, ended.Sub(stopped).Seconds(), now.Sub(stopped).Seconds())
				mu.Unlock()
			}
		})
	}
	time.Sleep(beforeStop)
	stopped = time.Now()
	if s.Trouble {
		m.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() {
			if ended, _ := m.Ended(); !ended {
				m.Signal(syscall.SIGKILL)
			}
		})
	}
	group.Wait()
	s.Log.Result("%d requests whose endpoints had answered ended without an answer", lost)
	return lost > 0, nil
}

func main() { scene.Main(run) }
