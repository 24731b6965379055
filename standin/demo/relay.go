package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// relay forwards TCP connections to a target and can drop the responses, as a one-way
// network partition does: requests arrive and take effect, their responses are lost.
type relay struct {
	listener net.Listener
	target   string
	drop     atomic.Bool // of responses

	mu          sync.Mutex
	connections map[net.Conn]bool
}

func startRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "cannot start a relay")
	}
	r := &relay{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *relay) forward(client net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	r.track(client, upstream)
	go func() {
		_, _ = io.Copy(upstream, client)
		upstream.Close()
	}()
	_, _ = io.Copy(&droppingWriter{relay: r, to: client}, upstream)
	client.Close()
}

func (r *relay) track(tracked ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range tracked {
		r.connections[c] = true
	}
}

func (r *relay) setDropResponses(drop bool) { r.drop.Store(drop) }

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.Close()
	}
}

// droppingWriter discards what is written while the relay drops responses. After the
// first discarded byte it discards everything, so that the client never reads a
// response with a gap.
type droppingWriter struct {
	relay   *relay
	to      net.Conn
	dropped bool
}

func (w *droppingWriter) Write(content []byte) (int, error) {
	w.dropped = w.dropped || w.relay.drop.Load()
	if w.dropped {
		return len(content), nil
	}
	return w.to.Write(content)
}
