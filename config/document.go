// Package config holds the operator's description of services and the checks,
// differences and digests that a plan is made of. It does no I/O.
package config

// Weighting selects which of detection time and false ejections weighs more
// for a service.
type Weighting string

// The weightings an operator can choose. The empty string means balanced.
const (
	WeightingBalanced       Weighting = "balanced"
	WeightingDetection      Weighting = "detection"
	WeightingFalseEjections Weighting = "falseEjections"
)

// Repeat states whether a request of a class may be sent more than once.
type Repeat string

// The repeat rules.
const (
	RepeatAllowed Repeat = "allowed"
	RepeatNever   Repeat = "never"
)

// Document is the operator's intent: full descriptions of one or more
// services, and the names of services to remove.
type Document struct {
	Services []Service `json:"services,omitempty"`
	Remove   []string  `json:"remove,omitempty"`
}

// Service describes one service, its endpoints, routes and request classes.
// Fields that are zero take the default of the matching accessor.
type Service struct {
	Name      string     `json:"name"`
	Routes    []Route    `json:"routes"`
	Endpoints []Endpoint `json:"endpoints"`
	Classes   []Class    `json:"classes"`
	// Floor is the least number of healthy endpoints that ejection must leave.
	Floor     int       `json:"floor"`
	Weighting Weighting `json:"weighting,omitempty"`
	// Teams lists the teams that may call the service; empty means all.
	Teams []string `json:"teams,omitempty"`
	// EchoHeader names the answer header in which the backend server repeats
	// the request identifier sent in X-Request-Id; empty means no check.
	EchoHeader string `json:"echoHeader,omitempty"`
	// HeldBytes is the size in bytes up to which an answer is held until it is
	// complete.
	HeldBytes int64 `json:"heldBytes,omitempty"`
	// WarmUpMillis is the time in milliseconds during which slowness of a new
	// endpoint generation is not held against it.
	WarmUpMillis int64 `json:"warmUpMillis,omitempty"`
	// RetryBudgetPercent is the share of retries and hedges in percent of requests.
	RetryBudgetPercent int `json:"retryBudgetPercent,omitempty"`
	// OncePartitions is the number of partitions of the at-most-once records.
	OncePartitions int `json:"oncePartitions,omitempty"`
	// RetentionMillis is how long at-most-once records are kept, in milliseconds.
	RetentionMillis int64 `json:"retentionMillis,omitempty"`
	// TimedKeys accepts only UUIDv7 idempotency keys.
	TimedKeys bool `json:"timedKeys,omitempty"`
}

// Route maps requests to a service and a class. The longest matching path
// prefix wins; empty Methods means all.
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
	// Slots is the number of requests the endpoint works on at the same time.
	Slots int `json:"slots"`
	// Connections is the most connections the endpoint takes from the fleet.
	Connections int `json:"connections,omitempty"`
}

// Class describes how requests of one kind are queued, retried and refused.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes; a higher number is served first.
	Priority int    `json:"priority"`
	Repeat   Repeat `json:"repeat"`
	// DeadlineMillis is the longest time in milliseconds from arrival to answer.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// QueueLimit is the most requests that wait in one proxy.
	QueueLimit int `json:"queueLimit"`
	// Hedge allows a second attempt before the first has ended.
	Hedge bool `json:"hedge,omitempty"`
}
