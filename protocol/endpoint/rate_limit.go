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
// together, the lowest if the response declares several, and false if it declares none.
// It returns an error wrapping ErrRateLimit if a declaration is invalid. Interim responses
// and trailers declare nothing.
func (r *Result) RateLimit() (perSecond float64, declared bool, err error) {
	for i, value := range r.rateLimit {
		limit, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			return 0, false, eris.Wrapf(ErrRateLimit, "%q", value)
		}
		if i == 0 || limit < perSecond {
			perSecond = limit
		}
	}
	return perSecond, len(r.rateLimit) > 0, nil
}

// rateLimitOf returns the rate limits of the endpoint that the response declares. A
// response of another process at the address declares nothing about this endpoint.
func (d *Dialect) rateLimitOf(response *http.Response) []string {
	if d.rateLimit == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return nil
	}
	return response.Header[d.rateLimit]
}
