// Command relaykilled shows what becomes of an answer without a length when the machine
// that forwards the connection to the endpoint is killed.
package main

import (
	"fmt"
	"net"
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
	machines  = 10
	endpoints = 6
	budget    = 5 * time.Second
	// pause lies between the two halves of an answer.
	pause = 600 * time.Millisecond
	// partition is the longest time for which connections to the endpoints hang.
	partition = 2 * time.Second
)

// listener refuses new connections on request, while open ones live on.
type listener struct {
	address string

	mu     sync.Mutex
	inner  net.Listener // nil while new connections are refused
	opened chan struct{}
}

func listen() (*listener, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &listener{address: inner.Addr().String(), inner: inner, opened: make(chan struct{})}, nil
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner, opened := l.inner, l.opened
		l.mu.Unlock()
		if inner != nil {
			if c, err := inner.Accept(); err == nil {
				return c, nil
			}
		}
		<-opened
	}
}

// Close implements [net.Listener].
func (l *listener) Close() error { return l.refuse() }

// Addr implements [net.Listener].
func (l *listener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.address)
	return a
}

// refuse lets new connections be refused.
func (l *listener) refuse() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil {
		return nil
	}
	err := l.inner.Close()
	l.inner = nil
	return err
}

// open ends refuse.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.inner = inner
	close(l.opened)
	l.opened = make(chan struct{})
	return nil
}

func content(id string) (first, second string) {
	return "first half for " + id + strings.Repeat(".", 200) + "\n", "second half for " + id + strings.Repeat(".", 200) + "\n"
}

// answer writes an answer without a length in two halves and closes the connection.
func answer(c *endpoint.Call) bool {
	c.Run()
	first, second := content(c.ID)
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Server-Stamp: %s\r\nConnection: close\r\n\r\n%s", c.ID, c.Stamp(), first)
	if err != nil {
		return false
	}
	time.Sleep(pause)
	_, _ = fmt.Fprint(c.Conn, second)
	return false
}

func run(s *scene.Scene) (bool, error) {
	s.Configure(3, scene.Route{Prefix: "/book/", Kind: "unsafe", Service: "lager", Attempts: 2, TimeoutS: 5})
	var listeners []*listener
	for i := range endpoints {
		l, err := listen()
		if err != nil {
			return false, err
		}
		listeners = append(listeners, l)
		s.Adopt(endpoint.StartOn(l, fmt.Sprintf("i-%d", i), "lager", string("abc"[i%3]), 8, s.Runs, answer))
	}
	if err := s.StartFleet(machines, 0); err != nil {
		return false, err
	}
	x := s.Fleet.Machines[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]client.Answer{}
	for range 16 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := s.ID()
				s.Log.Printf("client: request %s sent to %s", id, x.Name)
				a := s.Call(x.Front, http.MethodPost, "/book/x", id, budget, "order")
				s.Log.Printf("client: request %s: %s", id, a)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	if s.Trouble {
		if err := trouble(s, listeners); err != nil {
			return false, err
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	short, served := 0, 0
	for id, a := range answers {
		first, second := content(id)
		if a.Err != nil || a.Status != http.StatusOK {
			continue
		}
		served++
		if a.Body != first+second {
			short++
			s.Log.Printf("request %s: 200 with %d of %d bytes, Content-Length %q, ended as a complete answer", id, len(a.Body), len(first+second), a.Header.Get("Content-Length"))
		}
	}
	for _, m := range s.Fleet.Machines {
		for _, line := range append(m.LogLines("path:"), m.LogLines("relay")...) {
			s.Log.Printf("log of %s: %.300s", m.Name, line)
		}
	}
	s.Log.Result("%d answers with success, %d of them are not the endpoint's whole body", served, short)
	return short > 0, nil
}

// trouble cuts the machine off from the endpoints until it goes through others, and kills
// the machine that forwards its connections.
func trouble(s *scene.Scene, listeners []*listener) error {
	x := s.Fleet.Machines[0]
	for _, l := range listeners {
		if err := l.refuse(); err != nil {
			return err
		}
	}
	s.Log.Printf("endpoints: new connections are refused")
	began := time.Now()
	for !strings.HasSuffix(x.Metric("carawayhold_endpoints_cut"), " 1") && time.Since(began) < partition {
		time.Sleep(5 * time.Millisecond)
	}
	s.Log.Printf("machine %s: %s", x.Name, x.Metric("carawayhold_endpoints_cut"))
	for _, l := range listeners {
		if err := l.open(); err != nil {
			return err
		}
	}
	s.Log.Printf("endpoints: new connections are accepted again")
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) {
		for _, m := range s.Fleet.Machines[1:] {
			var open float64
			line := m.Metric("carawayhold_relay_connections")
			fmt.Sscan(strings.TrimPrefix(line, "carawayhold_relay_connections "), &open)
			if open < 3 {
				continue
			}
			s.Log.Printf("machine %s forwards %.0f connections", m.Name, open)
			time.Sleep(pause / 3)
			m.Signal(syscall.SIGKILL)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.Log.Printf("no machine forwarded connections")
	return nil
}

func main() { scene.Main(run) }
