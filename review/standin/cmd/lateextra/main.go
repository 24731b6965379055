// Command lateextra shows what an extra answer that arrives late does to a request that
// may run once. One endpoint refuses one request as not run and sends that refusal a
// second time, where the answer to the next request on the connection is expected.
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
	work     = 50 * time.Millisecond
	budget   = 3 * time.Second
	clients  = 12
	requests = 60 // of each client
	// refusal is what fleetbench wire shows for "a server sheds".
	refusal = "HTTP/1.1 503 Service Unavailable\r\nCarawayhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	// shedEvery-th request is refused: "503 when the endpoint is full".
	shedEvery = 10
)

// faulty refuses some requests, and sends a refusal once more where the answer to the next
// request is expected.
type faulty struct {
	mu      sync.Mutex
	count   int
	pending map[string]bool // connections, by remote address, on which an extra answer is due
	scene   *scene.Scene
}

func (f *faulty) handle(c *endpoint.Call) bool {
	f.mu.Lock()
	f.count++
	shed := f.count%shedEvery == 0
	remote := c.Conn.RemoteAddr().String()
	extra := f.pending[remote]
	delete(f.pending, remote)
	if shed && f.scene.Trouble {
		f.pending[remote] = true
	}
	f.mu.Unlock()
	if extra {
		f.scene.Log.Printf("endpoint %s: extra answer, a second copy of the refusal, as request %s arrives", c.Endpoint.ID, c.ID)
		fmt.Fprint(c.Conn, refusal)
	}
	if shed {
		f.scene.Log.Printf("endpoint %s: request %s refused as not run", c.Endpoint.ID, c.ID)
		_, err := fmt.Fprint(c.Conn, refusal)
		return err == nil
	}
	c.Run()
	time.Sleep(work)
	c.Answer(http.StatusOK, endpoint.Content(c.ID))
	return true
}

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/book/", Kind: "unsafe", Service: "lager", Attempts: 2, TimeoutS: 2.5})
	f := &faulty{pending: map[string]bool{}, scene: s}
	if _, err := s.Endpoint("i-faulty", "lager", "a", 4, f.handle); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := s.Endpoint(fmt.Sprintf("i-sound-%d", i), "lager", string("abc"[i]), 4, endpoint.Serve(work)); err != nil {
			return false, err
		}
	}
	if err := s.StartFleet(3, 0); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for range requests {
				id := s.ID()
				a := s.Call(s.Fleet.Machines[i%3].Front, http.MethodPost, "/book/x", id, budget, "order")
				s.Log.Printf("client %d: request %s: %s", i, id, a)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	twice := 0
	counts := map[string]int{}
	for _, r := range s.Runs.All() {
		counts[r.ID]++
	}
	for id, n := range counts {
		if n > 1 {
			twice++
			for _, r := range s.Runs.Of(id) {
				s.Log.Printf("request %s ran at %s", r.ID, r.Endpoint)
			}
		}
	}
	s.Log.Result("%d requests that may run once were sent, %d ran, %d of them more than once", clients*requests, len(counts), twice)
	return twice > 0, nil
}

func main() { scene.Main(run) }
