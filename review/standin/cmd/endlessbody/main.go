// Command endlessbody shows what answers without end do to the whole answers of other
// requests at the same machine.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/client"
	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/scene"
)

const (
	work = 30 * time.Millisecond
	// budget is the time budget of kind trail-status.
	budget   = 12 * time.Second
	length   = 45 * time.Second
	machines = 2
	// clients send one request after another, each on a kept connection to one machine.
	clients     = 96
	clientPause = 200 * time.Millisecond
	// endpoints is the number of endpoints; faulty of them send one answer in
	// garbledEvery without end: a share of 0.5 and an x of 0.05, where disturbance "garble
	// unframed" has 0.05.
	endpoints    = 12
	faulty       = 6
	garbledEvery = 20
	// bodyBytes is the size of a whole answer.
	bodyBytes = 300_000
	// An answer without end comes in parts of partBytes, one each partPause.
	partBytes = 64 << 10
	partPause = 20 * time.Millisecond
	// allowedLost is the number of lost requests that the rule allows.
	allowedLost = 3
)

func content(id string) string {
	line := "the answer to " + id + "\n"
	return strings.Repeat(line, bodyBytes/len(line))
}

// server answers with whole bodies, except for the answers without end.
type server struct {
	scene *scene.Scene

	mu      sync.Mutex
	count   map[string]int  // requests, by endpoint
	garbled map[string]bool // requests whose answer had no end
}

func (v *server) handle(c *endpoint.Call) bool {
	c.Run()
	time.Sleep(work)
	if v.scene.Trouble && v.garbles(c) {
		return endless(c)
	}
	return c.Answer(http.StatusOK, content(c.ID))
}

func number(endpointID string) int {
	n := 0
	fmt.Sscanf(endpointID, "i-%d", &n)
	return n
}

// ranAtSound reports whether a request ran, and only at endpoints without any fault.
func ranAtSound(runs []endpoint.Run) bool {
	for _, r := range runs {
		if number(r.Endpoint) < faulty {
			return false
		}
	}
	return len(runs) > 0
}

func (v *server) garbles(c *endpoint.Call) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count[c.Endpoint.ID]++
	if number(c.Endpoint.ID) >= faulty || v.count[c.Endpoint.ID]%garbledEvery != 0 {
		return false
	}
	v.garbled[c.ID] = true
	v.scene.Log.Printf("endpoint %s: the answer to request %s has no end", c.Endpoint.ID, c.ID)
	return true
}

// endless sends an answer without end until the caller closes.
func endless(c *endpoint.Call) bool {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Server-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n", c.ID, c.Stamp())
	part := strings.Repeat("x", partBytes)
	for err == nil {
		_, err = fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(partPause)
	}
	return false
}

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/read/", Kind: "safe", Service: "hutdesk", Attempts: 2, TimeoutS: 12})
	v := &server{scene: s, count: map[string]int{}, garbled: map[string]bool{}}
	for i := range endpoints {
		if _, err := s.Endpoint(fmt.Sprintf("i-%d", i), "hutdesk", string("abc"[i%3]), 4, v.handle); err != nil {
			return false, err
		}
	}
	if err := s.StartFleet(machines, 0); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var served, lost, ended atomic.Int64
	for i := range clients {
		group.Go(func() {
			keptClient(s, i, v, stop, &served, &lost, &ended)
		})
	}
	time.Sleep(length)
	close(stop)
	group.Wait()
	s.Log.Result("%d requests were answered whole; %d requests with an answer without end were broken off; %d requests were passed on from kept connections to sound endpoints only, and their connection was closed without the answer",
		served.Load(), ended.Load(), lost.Load())
	return lost.Load() > allowedLost, nil
}

// keptClient sends one request after another on a kept connection, and opens a new one when
// it has been closed.
func keptClient(s *scene.Scene, number int, v *server, stop <-chan struct{}, served, lost, ended *atomic.Int64) {
	front := s.Fleet.Machines[number%len(s.Fleet.Machines)].Front
	var c *client.Conn
	before := 0 // requests that were answered on the connection
	for {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		if c == nil {
			var err error
			if c, err = client.Dial(front); err != nil {
				s.Log.Printf("client %d: %v", number, err)
				continue
			}
			before = 0
		}
		id := s.ID()
		a := c.Call(http.MethodGet, scene.Host, "/read/x", id, budget, "")
		if a.Err == nil && a.Status == http.StatusOK && a.Body == content(id) {
			served.Add(1)
			before++
			s.Log.Printf("client %d: request %s: %s", number, id, a)
			continue
		}
		v.mu.Lock()
		garbled := v.garbled[id]
		v.mu.Unlock()
		s.Log.Printf("client %d: request %s: %s after %d bytes; answer without end: %v", number, id, a, len(a.Body), garbled)
		if a.Err == nil {
			continue
		}
		switch {
		case garbled:
			ended.Add(1)
		case before > 0 && ranAtSound(s.Runs.Of(id)):
			lost.Add(1)
			s.Log.Printf("request %s, the %d. on its connection, is lost", id, before+1)
		}
		c.Close()
		c = nil
	}
}

func main() { scene.Main(run) }
