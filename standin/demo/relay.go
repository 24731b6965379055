package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// relay passes connections on to a target and can swallow what comes back, as a
// one-way partition does: requests arrive and take effect, answers do not.
type relay struct {
	listener net.Listener
	target   string
	cut      atomic.Bool

	mu   sync.Mutex
	open map[net.Conn]bool
}

func startRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "cannot start a relay")
	}
	r := &relay{listener: listener, target: target, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(near)
	}
}

func (r *relay) pass(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	r.keep(near, far)
	go func() {
		_, _ = io.Copy(far, near)
		far.Close()
	}()
	_, _ = io.Copy(&oneWay{relay: r, to: near}, far)
	near.Close()
}

func (r *relay) keep(connections ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range connections {
		r.open[c] = true
	}
}

func (r *relay) setCut(cut bool) { r.cut.Store(cut) }

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}

// oneWay drops what is written while the relay is cut. A connection that lost
// bytes stays silent, so that it never delivers a torn answer later.
type oneWay struct {
	relay *relay
	to    net.Conn
	torn  bool
}

func (w *oneWay) Write(content []byte) (int, error) {
	w.torn = w.torn || w.relay.cut.Load()
	if w.torn {
		return len(content), nil
	}
	return w.to.Write(content)
}
