package outlier

// Kind classifies the outcome of one request to an endpoint.
type Kind uint8

// The kinds of evidence. A request counts as the first kind that applies.
const (
	// OK is a correct, complete response in time.
	OK Kind = iota
	// Wrong is an incorrect or truncated response, or one to another request.
	Wrong
	// Error is a 5xx response that is not a declared refusal.
	Error
	// Slow is a correct response above the latency reference.
	Slow
	// Timeout is a request without a response by its deadline.
	Timeout
	// Silent is an existing connection without answers while a new one works.
	Silent
	// Refused is an endpoint to which no connection could be made.
	Refused
	// Shed is a declared refusal; it never counts against the endpoint.
	Shed

	kindCount
)

var kindNames = [kindCount]string{"ok", "wrong", "error", "slow", "timeout", "silent", "refused", "shed"}

// suspectKinds are the kinds with a sequential test.
var suspectKinds = [...]Kind{Wrong, Error, Slow, Timeout, Silent, Refused}

// String returns the name used in the ledger and the audit trail.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// path reports whether the kind may be evidence about the path from the
// reporter rather than about the endpoint.
func (k Kind) path() bool {
	return k == Timeout || k == Silent || k == Refused
}
