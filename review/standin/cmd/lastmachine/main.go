// Command lastmachine shows what becomes of the last machine of a deployment when all
// others are lost and their clients come to it.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/client"
	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/scene"
)

// The figures of site kyklos-gw-grown: 93 machines, 10,500 clients that send 1,240 requests
// a second together, 4,100 descriptors.
const (
	machines    = 93
	descriptors = 4100
	clients     = 10_500
	perSecond   = 1240
	budget      = 6 * time.Second
	// idleReuse is four fifths of idle_timeout_s.
	idleReuse = 12 * time.Second
	endpoints = 24
	slots     = 8
	work      = 40 * time.Millisecond
	steady    = 20 * time.Second
	after     = 15 * time.Second
	// allowedLost is the number of lost requests that the rule allows.
	allowedLost = 3
)

type traffic struct {
	scene        *scene.Scene
	stop         chan struct{}
	lost         atomic.Bool // all machines but the last are lost
	served, open atomic.Int64
	mu           sync.Mutex
	cut          []string // requests on kept connections to the last machine without an answer
}

// front returns the machine that the balancer gives to a new connection.
func (t *traffic) front() string {
	list := t.scene.Fleet.Machines
	if t.lost.Load() {
		list = list[:1]
	}
	return list[rand.IntN(len(list))].Front
}

func (t *traffic) client(number int) {
	var c *client.Conn
	var used time.Time
	var front string
	mean := float64(clients) / perSecond * float64(time.Second)
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * mean)):
		}
		if c != nil && time.Since(used) > idleReuse {
			c.Close()
			t.open.Add(-1)
			c = nil
		}
		kept := c != nil
		if c == nil {
			front = t.front()
			var err error
			if c, err = client.Dial(front); err != nil {
				c = nil
				continue
			}
			t.open.Add(1)
		}
		id := t.scene.ID()
		sent := time.Now()
		a := c.Call(http.MethodPost, scene.Host, "/visit/x", id, budget, "order")
		used = time.Now()
		if a.Status == http.StatusOK {
			t.served.Add(1)
		}
		t.scene.Log.Printf("client %d: request %s to %s, kept connection: %v, sent %.3f s ago: %s", number, id, front, kept, time.Since(sent).Seconds(), a)
		if a.Err == nil && a.Header.Get("Connection") != "close" {
			continue
		}
		if a.Err != nil && kept && front == t.scene.Fleet.Machines[0].Front {
			t.mu.Lock()
			t.cut = append(t.cut, id)
			t.mu.Unlock()
		}
		c.Close()
		t.open.Add(-1)
		c = nil
	}
}

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/visit/", Kind: "unsafe", Service: "crew-portal", Attempts: 2, TimeoutS: 6})
	for i := range endpoints {
		if _, err := s.Endpoint(fmt.Sprintf("i-%d", i), "crew-portal", string("abc"[i%3]), slots, endpoint.Serve(work)); err != nil {
			return false, err
		}
	}
	if err := s.StartFleet(machines, descriptors); err != nil {
		return false, err
	}
	t := &traffic{scene: s, stop: make(chan struct{})}
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { t.client(i) })
	}
	time.Sleep(steady)
	last := s.Fleet.Machines[0]
	s.Log.Printf("%d connections of clients are open, %d requests served", t.open.Load(), t.served.Load())
	if s.Trouble {
		for _, m := range s.Fleet.Machines[1:] {
			m.Signal(syscall.SIGKILL)
		}
		t.lost.Store(true)
	}
	end := time.Now().Add(after)
	ended := false
	for time.Now().Before(end) && !ended {
		time.Sleep(time.Second)
		var err error
		ended, err = last.Ended()
		s.Log.Printf("machine %s: process ended: %v (%v); %d connections of clients are open, %d requests served", last.Name, ended, err, t.open.Load(), t.served.Load())
	}
	time.Sleep(time.Second)
	close(t.stop)
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := 0
	for _, id := range t.cut {
		if len(s.Runs.Of(id)) > 0 {
			lost++
		}
	}
	for _, line := range last.LogLines("listener failed") {
		s.Log.Printf("log of %s: %s", last.Name, line)
	}
	s.Log.Result("the process of the last machine ended by itself: %v; %d requests on kept connections to it had been passed on to endpoints and ended without an answer", ended, lost)
	return ended && lost > allowedLost, nil
}

func main() { scene.Main(run) }
