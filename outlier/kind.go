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
	// KindSlow is a correct response above the threshold of LatencyBaseline.
	KindSlow
	// KindTimeout is a request without a response by its deadline.
	KindTimeout
	// KindUnresponsive is an open connection without responses while a new
	// connection to the endpoint works.
	KindUnresponsive
	// KindRefused is a failed attempt to connect to the endpoint.
	KindRefused
	// KindShed is a declared refusal; it is never evidence against the endpoint.
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

// pathRelated reports whether a failure of the kind may be caused by the network
// path from the reporter rather than by the endpoint.
func (k Kind) pathRelated() bool {
	return k == KindTimeout || k == KindUnresponsive || k == KindRefused
}
