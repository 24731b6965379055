// Command sameid shows what an extra answer that arrives late does when the request that
// it answers is sent once more on the same connection.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/review/standin/endpoint"
	"github.com/carawayhold/carawayhold/review/standin/scene"
)

const (
	machines  = 3
	endpoints = 7
	work      = 10 * time.Millisecond
	budget    = 3 * time.Second
	clients   = 18
	pause     = 60 * time.Millisecond
	// crashEvery is the time between the return of an endpoint and the next crash.
	crashEvery = 100 * time.Millisecond
	crashes    = 43
	// restart is the time for which a crashed endpoint is down, longer than addr_reuse_s.
	restart = 2100 * time.Millisecond
	// lapse is three ping intervals (heartbeat_s 1.5).
	lapse = 4500 * time.Millisecond
	// faultyEndpoints crash one after the other, and send extra answers: 0.57 of all, where
	// disturbance "garble extra late" has 0.6.
	faultyEndpoints = 4
	// maxExtraShare bounds the share of the answers of these endpoints that are sent a
	// second time, late; it is x of that disturbance.
	maxExtraShare = 0.03
)

// faulty serves requests. It sends some answers once more, where the next answer on the
// connection is expected.
type faulty struct {
	scene *scene.Scene

	mu      sync.Mutex
	late    map[net.Conn]string // extra answers to send
	answers int
	extra   int
}

func (f *faulty) handle(c *endpoint.Call) bool {
	f.flush(c)
	c.Run()
	time.Sleep(work)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.ID, c.Stamp(), len(endpoint.Content(c.ID)), endpoint.Content(c.ID))
	return f.write(c, answer, false)
}

func (f *faulty) misdirected(c *endpoint.Call) bool {
	f.flush(c)
	f.scene.Log.Printf("endpoint %s: request %s expects another instance, 421", c.Endpoint.ID, c.ID)
	return f.write(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.ID, c.Endpoint.ID), true)
}

func (f *faulty) flush(c *endpoint.Call) {
	f.mu.Lock()
	extra := f.late[c.Conn]
	delete(f.late, c.Conn)
	f.mu.Unlock()
	if extra != "" {
		f.scene.Log.Printf("endpoint %s: an extra answer, a second copy of the last one on the connection, as request %s arrives: %.28q", c.Endpoint.ID, c.ID, extra)
		_, _ = fmt.Fprint(c.Conn, extra)
	}
}

func (f *faulty) write(c *endpoint.Call, answer string, again bool) bool {
	f.mu.Lock()
	f.answers++
	if f.scene.Trouble && f.late != nil && again && float64(f.extra+1) <= maxExtraShare*float64(f.answers) {
		f.extra++
		f.late[c.Conn] = answer
	}
	f.mu.Unlock()
	_, err := fmt.Fprint(c.Conn, answer)
	return err == nil
}

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/book/", Kind: "unsafe", Service: "lager", Attempts: 2, TimeoutS: 2.5})
	f := &faulty{scene: s, late: map[net.Conn]string{}}
	sound := &faulty{scene: s}
	var list []*endpoint.Endpoint
	start := func(i, boot int, l net.Listener) *endpoint.Endpoint {
		v := sound
		if i < faultyEndpoints {
			v = f
		}
		e := endpoint.StartOn(l, fmt.Sprintf("i-%d-%d", i, boot), "lager", string("abc"[i%3]), 4, s.Runs, v.handle)
		e.Misdirected = v.misdirected
		s.Adopt(e)
		return e
	}
	for i := range endpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		list = append(list, start(i, 0, l))
	}
	if err := s.StartFleet(machines, 0); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				id := s.ID()
				a := s.Call(s.Fleet.Machines[i%machines].Front, http.MethodPost, "/book/x", id, budget, "order")
				s.Log.Printf("client %d: request %s: %s", i, id, a)
			}
		})
	}
	for n := range crashes {
		time.Sleep(crashEvery)
		if !s.Trouble {
			time.Sleep(restart)
			continue
		}
		i := n % faultyEndpoints
		old := list[i]
		s.Log.Printf("endpoint %s: crashes", old.ID)
		old.Close()
		time.Sleep(restart)
		l, err := listen(old.Address())
		if err != nil {
			return false, err
		}
		time.AfterFunc(lapse, func() { s.Store.Remove("servers", old.ID) })
		list[i] = start(i, n+1, l)
	}
	close(stop)
	group.Wait()
	counts := map[string]int{}
	twice := 0
	for _, r := range s.Runs.All() {
		counts[r.ID]++
		if counts[r.ID] == 2 {
			twice++
			for _, v := range s.Runs.Of(r.ID) {
				s.Log.Printf("request %s ran at %s", v.ID, v.Endpoint)
			}
		}
	}
	s.Log.Printf("%d answers of the faulty endpoints, %d of them sent a second time", f.answers, f.extra)
	s.Log.Result("%d requests that may run once ran, %d of them more than once", len(counts), twice)
	return twice > 0, nil
}

// listen opens the address of an endpoint that has just ended.
func listen(address string) (net.Listener, error) {
	for range 100 {
		if l, err := net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, errors.New("the address is taken")
}

func main() { scene.Main(run) }
