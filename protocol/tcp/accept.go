// Package tcp accepts connections and survives shortages of descriptors, memory and ports.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// minPause and maxPause bound the wait after a failed Accept, which doubles each time.
	// While it waits, new connections stay in the queue of the kernel.
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Accept returns the next connection, or false once the listener is closed. After any other
// error it calls failed, waits, and tries again.
func Accept(l net.Listener, failed func(err error)) (conn net.Conn, open bool) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Accept()
		if err == nil {
			return conn, true
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, false
		}
		failed(err)
		time.Sleep(pause)
	}
}

// IsShortage reports whether the error of opening a connection is this machine's own want of
// descriptors, memory or ports, which says nothing about the other side.
func IsShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
