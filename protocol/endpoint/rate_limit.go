package endpoint

import (
	"math"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// ErrRateLimit means that the rate limit in a response is not a finite decimal number
// of at least 0.
var ErrRateLimit = eris.New("endpoint: invalid rate limit")

// RateLimit returns the requests per second that the endpoint accepts from all proxies
// together, and false if the response declares no limit. It returns an error wrapping
// ErrRateLimit if the declaration is invalid.
func (r *Result) RateLimit() (perSecond float64, declared bool, err error) {
	if r.rateLimit == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(r.rateLimit, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false, eris.Wrapf(ErrRateLimit, "%q", r.rateLimit)
	}
	return perSecond, true, nil
}

// rateLimitOf returns the declared rate limit of the endpoint, or an empty string. A
// response of another process at the address declares nothing about this endpoint.
func (d *Dialect) rateLimitOf(response *http.Response) string {
	if d.rateLimit == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return ""
	}
	return response.Header.Get(d.rateLimit)
}
