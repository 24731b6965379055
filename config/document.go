// Package config defines the service documents that operators write. It parses and
// validates them, compares them, and computes the plan of a change. It does no I/O.
package config

// Weighting selects whether the failure detection of a service favours a short
// detection time or few false ejections.
type Weighting string

// The valid weightings. The empty string means balanced.
const (
	WeightingBalanced       Weighting = "balanced"
	WeightingDetection      Weighting = "detection"
	WeightingFalseEjections Weighting = "falseEjections"
)

// Repeat states whether a request of a class may be sent to a backend server more
// than once.
type Repeat string

// The valid repeat rules.
const (
	RepeatAllowed Repeat = "allowed"
	RepeatNever   Repeat = "never"
)

// Document is the change that an operator requests: the complete descriptions of the
// services to create or replace, and the names of the services to remove.
type Document struct {
	Services []Service `json:"services,omitempty"`
	Remove   []string  `json:"remove,omitempty"`
}

// Service describes one service with its endpoints, routes and request classes. An
// optional field that is zero selects the default, which its accessor returns.
type Service struct {
	Name      string     `json:"name"`
	Routes    []Route    `json:"routes"`
	Endpoints []Endpoint `json:"endpoints"`
	Classes   []Class    `json:"classes"`
	// Floor is the minimum number of healthy endpoints that ejection must leave.
	Floor     int       `json:"floor"`
	Weighting Weighting `json:"weighting,omitempty"`
	// Teams lists the teams that may call the service; empty means all.
	Teams []string `json:"teams,omitempty"`
	// EchoHeader is the name of the response header in which the backend server
	// repeats the request id sent in X-Request-Id; empty means that responses are not
	// checked for it.
	EchoHeader string `json:"echoHeader,omitempty"`
	// BufferBytes is the size in bytes up to which a response is buffered until it is
	// complete, before any of it is forwarded.
	BufferBytes int64 `json:"heldBytes,omitempty"`
	// WarmUpMillis is the time in milliseconds after the start of an endpoint
	// generation during which slow responses do not count as failures.
	WarmUpMillis int64 `json:"warmUpMillis,omitempty"`
	// RetryBudgetPercent limits retries and hedges, in percent of requests.
	RetryBudgetPercent int `json:"retryBudgetPercent,omitempty"`
	// OncePartitions is the number of partitions of the at-most-once records.
	OncePartitions int `json:"oncePartitions,omitempty"`
	// RetentionMillis is how long at-most-once records are kept, in milliseconds.
	RetentionMillis int64 `json:"retentionMillis,omitempty"`
	// TimedKeys accepts only UUIDv7 idempotency keys.
	TimedKeys bool `json:"timedKeys,omitempty"`
}

// Route maps requests to a service and a class. An empty Host matches all hosts,
// empty Methods match all methods. Routes for the host of a request take precedence
// over those for all hosts, and then the longest matching path prefix wins.
type Route struct {
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"`
	Class      string   `json:"class"`
}

// Endpoint is one backend server address of a service.
type Endpoint struct {
	Name string `json:"name"`
	// Address is an IP address and port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of connections that the endpoint accepts
	// from the whole fleet.
	MaxConnections int `json:"connections,omitempty"`
}

// Class describes how requests of one kind are queued, retried and refused.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes; a higher number is served first.
	Priority int    `json:"priority"`
	Repeat   Repeat `json:"repeat"`
	// DeadlineMillis is the maximum time in milliseconds from the arrival of a request
	// to its response.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// QueueLimit is the maximum number of requests that wait in the queue of one proxy.
	QueueLimit int `json:"queueLimit"`
	// Hedge allows a second attempt while the first is still in flight.
	Hedge bool `json:"hedge,omitempty"`
}
