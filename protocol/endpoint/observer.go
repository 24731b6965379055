package endpoint

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

// Unsolicited classifies bytes of an endpoint that are not the response to the request that
// waits for one.
type Unsolicited string

// The kinds of unsolicited bytes.
const (
	// UnsolicitedOther is a response with the identifier of another request.
	UnsolicitedOther Unsolicited = "other_identifier"
	// UnsolicitedAnonymous is a response without an identifier that may belong to another
	// request.
	UnsolicitedAnonymous Unsolicited = "no_identifier"
	// UnsolicitedIdle are bytes on a connection that no request is waiting on.
	UnsolicitedIdle Unsolicited = "idle_connection"
	// UnsolicitedAfterRefusal is a response to a request that an earlier response on the
	// connection states was not run: one of the two is wrong, and the request may have run.
	UnsolicitedAfterRefusal Unsolicited = "after_refusal"
)

// Observer is told about unsolicited bytes. Its methods must be safe for concurrent use and
// must not block.
type Observer interface {
	ObserveUnsolicited(address string, kind Unsolicited)
}

// WithObserver sets the observer of the client.
func WithObserver(o Observer) Option {
	return func(c *Client) { c.observer = o }
}

func (c *Client) observe(kind Unsolicited) {
	if c.observer != nil {
		c.observer.ObserveUnsolicited(c.address, kind)
	}
}

func foreignResponse(err error) Unsolicited {
	if errors.Is(err, errUnidentified) {
		return UnsolicitedAnonymous
	}
	return UnsolicitedOther
}

// unsolicitedResponse classifies what an idle connection has received.
func unsolicitedResponse(conn *connection, received []byte) Unsolicited {
	r := conn.refused
	if r == nil || r.rules.echoHeader == "" {
		return UnsolicitedIdle
	}
	response, err := rfc9112.ReadResponse(bufio.NewReader(bytes.NewReader(received)), r.method)
	if err != nil || response.Header.Get(r.rules.echoHeader) != r.id || r.rules.dialect.declaresNotRun(response) {
		return UnsolicitedIdle
	}
	return UnsolicitedAfterRefusal
}
