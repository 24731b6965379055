package main

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// The ports lie below the ephemeral range, so that no outgoing connection takes a
	// port between the check that it is free and its use.
	firstPort = 21_000
	lastPort  = 31_000
)

// addressPool allocates loopback addresses and never reuses one.
type addressPool struct {
	next int
}

func newAddressPool() *addressPool { return &addressPool{next: firstPort} }

// take returns the next address on which nothing listens.
func (p *addressPool) take() (string, error) {
	for ; p.next <= lastPort; p.next++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		p.next++
		return address, nil
	}
	return "", eris.Errorf("no free port from %d to %d", firstPort, lastPort)
}
