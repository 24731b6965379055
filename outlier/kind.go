package outlier

// Kind classifies the outcome of one request to an endpoint.
type Kind uint8

// The kinds of evidence. A request counts as the first kind that applies.
const (
	// KindOK is a correct, complete response in time.
	KindOK Kind = iota
	// KindInvalid is an incorrect or truncated response, or one to another request.
	KindInvalid
	// KindError is a 5xx response that is not a declared refusal.
	KindError
	// KindSlow is a correct response above the latency reference.
	KindSlow
	// KindTimeout is a request without a response by its deadline.
	KindTimeout
	// KindUnresponsive is an existing connection without answers while a new one works.
	KindUnresponsive
	// KindRefused is an endpoint to which no connection could be made.
	KindRefused
	// KindShed is a declared refusal; it never counts against the endpoint.
	KindShed

	kindCount
)

var kindNames = [kindCount]string{"ok", "wrong", "error", "slow", "timeout", "silent", "refused", "shed"}

// suspectKinds are the kinds with a sequential test.
var suspectKinds = [...]Kind{KindInvalid, KindError, KindSlow, KindTimeout, KindUnresponsive, KindRefused}

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
	return k == KindTimeout || k == KindUnresponsive || k == KindRefused
}
