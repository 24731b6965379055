package admission

import "time"

// State is the progress of a request.
type State uint8

// The states of a ticket.
const (
	StateWaiting State = iota + 1
	StateRunning
	// StateEnded tickets were served, dropped or cancelled.
	StateEnded
)

// Ticket is one admitted request. Value gives access to the data that the proxy
// passed to Admit.
type Ticket struct {
	queue      *queue
	arrived    time.Time
	deadline   time.Time
	dispatched time.Time
	queued     time.Time // when it last entered the queue
	state      State
	requeues   int
	hedged     bool
	value      any
}

// Class returns the name of the class.
func (t *Ticket) Class() string { return t.queue.class.name }

// Arrived returns the time of the call to Admit.
func (t *Ticket) Arrived() time.Time { return t.arrived }

// Deadline returns the time by which the caller needs the response.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// State returns whether the request waits, runs or has ended.
func (t *Ticket) State() State { return t.state }

// Value returns what the proxy passed to Admit.
func (t *Ticket) Value() any { return t.value }
