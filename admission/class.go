package admission

import "time"

// Class describes a class of requests that share a queue.
type Class struct {
	name       string
	priority   int
	deadline   time.Duration
	queueLimit int
	repeatable bool
	hedge      bool
}

// ClassOption changes a Class under construction.
type ClassOption func(*Class)

// WithRepeatable allows requests of the class to be retried and hedged.
func WithRepeatable() ClassOption { return func(c *Class) { c.repeatable = true } }

// WithHedge allows a hedged attempt while the first one is still running. It has no
// effect on a class that is not repeatable.
func WithHedge() ClassOption { return func(c *Class) { c.hedge = true } }

// NewClass returns a class. Classes with a higher priority are served first; deadline
// is the longest time from arrival to response, and queueLimit the maximum number
// of waiting requests.
func NewClass(name string, priority int, deadline time.Duration, queueLimit int, options ...ClassOption) Class {
	c := Class{name: name, priority: priority, deadline: deadline, queueLimit: queueLimit}
	for _, o := range options {
		o(&c)
	}
	return c
}

// Name returns the name of the class.
func (c Class) Name() string { return c.name }
