package admission

import "time"

// Class describes the requests of one kind.
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

// WithRepeatable allows requests of the class to be sent more than once.
func WithRepeatable() ClassOption { return func(c *Class) { c.repeatable = true } }

// WithHedge allows a second attempt before the first has ended. It has no effect
// on a class that is not repeatable.
func WithHedge() ClassOption { return func(c *Class) { c.hedge = true } }

// NewClass describes a class. A higher priority is served first; deadline is the
// longest time from arrival to response, and queueLimit the most waiting requests.
func NewClass(name string, priority int, deadline time.Duration, queueLimit int, options ...ClassOption) Class {
	c := Class{name: name, priority: priority, deadline: deadline, queueLimit: queueLimit}
	for _, o := range options {
		o(&c)
	}
	return c
}

// Name returns the name of the class.
func (c Class) Name() string { return c.name }
