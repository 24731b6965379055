package main

import "time"

// drainTimeout is the time after which a draining endpoint must not receive new requests.
const drainTimeout = 3 * time.Second

// drainCheck counts the requests that a draining endpoint receives after drainTimeout.
type drainCheck struct {
	arrivals  func() (int64, error)
	atTimeout chan arrivalCount
}

type arrivalCount struct {
	arrivals int64
	err      error
}

// start is called when the endpoint starts to drain. The function arrivals returns the
// number of requests that the endpoint has received so far.
func (c *drainCheck) start(arrivals func() (int64, error)) {
	c.arrivals = arrivals
	c.atTimeout = make(chan arrivalCount, 1)
	time.AfterFunc(drainTimeout, func() {
		n, err := arrivals()
		c.atTimeout <- arrivalCount{arrivals: n, err: err}
	})
}

// lateArrivals returns the number of requests that arrived after drainTimeout.
func (c *drainCheck) lateArrivals() (int64, error) {
	before := <-c.atTimeout
	if before.err != nil {
		return 0, before.err
	}
	now, err := c.arrivals()
	return now - before.arrivals, err
}
