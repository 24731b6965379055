package main

import "time"

// leavingTime is the time after which a leaving endpoint must get no new work.
const leavingTime = 3 * time.Second

// drainCheck compares the requests that an endpoint counted when the allowed
// time had passed with those at the end.
type drainCheck struct {
	arrivals func() (int64, error)
	allowed  chan counted
}

type counted struct {
	arrivals int64
	err      error
}

// start begins the allowed time of an endpoint that announced that it leaves.
func (c *drainCheck) start(arrivals func() (int64, error)) {
	c.arrivals = arrivals
	c.allowed = make(chan counted, 1)
	time.AfterFunc(leavingTime, func() {
		n, err := arrivals()
		c.allowed <- counted{arrivals: n, err: err}
	})
}

// late returns the requests that arrived after the allowed time.
func (c *drainCheck) late() (int64, error) {
	allowed := <-c.allowed
	if allowed.err != nil {
		return 0, allowed.err
	}
	now, err := c.arrivals()
	return now - allowed.arrivals, err
}
