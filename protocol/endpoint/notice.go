package endpoint

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotice means that a field in which the endpoint describes itself has an invalid value.
	ErrNotice = eris.New("endpoint: invalid notice")
	// ErrWithheld means that the gate of the request did not admit it. Nothing was written.
	ErrWithheld = eris.New("endpoint: request withheld")
)

// Notice is what a response states about its endpoint and later requests.
type Notice struct {
	// Leaving is set if the process is about to stop.
	Leaving bool
	// RestUntil is the time until which the endpoint wants no requests from this proxy, or
	// the zero time.
	RestUntil time.Time
}

// Gate decides about the requests to one endpoint and is told its notices. Its methods must
// be safe for concurrent use and must not block.
type Gate interface {
	// Admit is called before a connection is sought and again right before the request is
	// written. An error withholds the request.
	Admit() error
	// ObserveNotice is called for each response, as soon as its head has been read, that has
	// a notice or an invalid one. The error wraps [ErrNotice].
	ObserveNotice(n Notice, err error)
}

// MaxRest bounds a rest, because a faulty endpoint could exclude itself for ever. An
// endpoint that rests longer says so again.
const MaxRest = time.Hour

const retryAfterField = "Retry-After"

// noticeOf returns the notice in a response that was received now. A response of another
// process at the address has none about this endpoint, nor have interim responses and
// trailers. An invalid field does not affect the others.
func (d *Dialect) noticeOf(response *http.Response, now time.Time) (Notice, error) {
	var n Notice
	var invalid error
	if response.StatusCode == http.StatusMisdirectedRequest {
		return n, nil
	}
	if d.leaving != "" {
		for _, value := range response.Header[d.leaving] {
			switch strings.TrimSpace(value) {
			case "1":
				n.Leaving = true
			case "0":
			default:
				invalid = eris.Wrapf(ErrNotice, "%s: %.40q", d.leaving, value)
			}
		}
	}
	if !d.rest || !d.asksForRest(response) {
		return n, invalid
	}
	for _, value := range response.Header[retryAfterField] {
		rest, valid := restOf(strings.TrimSpace(value), response, now)
		if !valid {
			invalid = eris.Wrapf(ErrNotice, "%s: %.40q", retryAfterField, value)
			continue
		}
		if until := now.Add(min(rest, MaxRest)); rest > 0 && until.After(n.RestUntil) {
			n.RestUntil = until
		}
	}
	return n, invalid
}

// asksForRest reports whether Retry-After in the response concerns the endpoint and not only
// the request.
func (d *Dialect) asksForRest(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests && d.declaresNotRun(response)
}

// restOf parses a Retry-After value: a decimal number of seconds, or a date (RFC 9110,
// section 10.2.3), which is compared with the date of the response if there is one. The
// result is MaxRest for all larger values.
func restOf(value string, response *http.Response, now time.Time) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil || isRangeError(err) {
		if !(seconds >= 0) || err == nil && math.IsInf(seconds, 0) {
			return 0, false
		}
		return time.Duration(min(seconds, MaxRest.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	sentAt, err := http.ParseTime(response.Header.Get("Date"))
	if err != nil {
		sentAt = now
	}
	return max(0, until.Sub(sentAt)), true
}

// isRangeError reports whether a number was parsed that is too large for a float64.
func isRangeError(err error) bool { return errors.Is(err, strconv.ErrRange) }

// admit asks the gate of the request, if it has one.
func (r *Request) admit() error {
	if r.gate == nil {
		return nil
	}
	if err := r.gate.Admit(); err != nil {
		return eris.Wrapf(ErrWithheld, "%v", err)
	}
	return nil
}

// observeNotice passes the notice in the response on to the gate.
func (r *Request) observeNotice(response *http.Response) {
	if r.gate == nil {
		return
	}
	if n, err := r.rules.dialect.noticeOf(response, time.Now()); err != nil || n != (Notice{}) {
		r.gate.ObserveNotice(n, err)
	}
}
