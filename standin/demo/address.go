package main

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// The ports lie below the range from which the system takes the ports of
	// outgoing connections, so that none of those takes a port that was found free.
	firstPort = 21_000
	lastPort  = 31_000
)

// addressPool gives out loopback addresses, each once.
type addressPool struct {
	next int
}

func newAddressPool() *addressPool { return &addressPool{next: firstPort} }

// take returns an address on which nothing listens.
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
