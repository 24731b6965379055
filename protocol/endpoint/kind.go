package endpoint

// Kind classifies the result of one call as evidence about the endpoint.
type Kind uint8

// The kinds of evidence. Slowness is not one of them: receivers derive it from
// Result.Elapsed, because it depends on the other endpoints of the service.
const (
	// KindNone carries no evidence: the call was cancelled, or no connection
	// was free before the deadline.
	KindNone Kind = iota
	// KindOK is a complete response other than a server error.
	KindOK
	// KindInvalid is a truncated, malformed or overlong response, or the response
	// to another request.
	KindInvalid
	// KindError is a server error (5xx) other than KindShed, or a connection that
	// was closed before the first response byte.
	KindError
	// KindTimeout means that no response arrived before the deadline.
	KindTimeout
	// KindUnresponsive means that a reused connection did not respond while a new
	// one worked. It is reported in addition to the result of the new connection.
	KindUnresponsive
	// KindRefused means that no connection could be opened.
	KindRefused
	// KindShed is a 503 with X-Not-Run: true, or what the Dialect declares as such.
	KindShed
)

var kindNames = [...]string{"none", "ok", "wrong", "error", "timeout", "silent", "refused", "shed"}

// String returns the name used in metrics and evidence reports.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}
