package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

const (
	uploadTime = 2 * time.Second
	// firstOfUploads is above the numbers of all other callers.
	firstOfUploads = 0xc000
)

// uploadSizes are below, about and above what the sockets of a connection hold, in bytes.
var uploadSizes = []int{100 << 10, 400 << 10, 1000 << 10}

// resetUploads makes endpoints answer some uploads before they have read them and reset the connection,
// while callers send uploads to all proxies.
func (s *scenario) resetUploads() func() {
	until := time.Now().Add(uploadTime)
	for _, p := range s.proxies {
		number := firstOfUploads + s.lateNumber.Add(1)
		s.lateRequests.Go(func() { s.sendUploads(p, number, until) })
	}
	return s.changeBehaviours(deployment.Behaviour{ProcessingTime: processingTime, EarlyResetRatio: 0.4})
}

func (s *scenario) sendUploads(p *proxy, number uint64, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		c, err := deployment.Dial(p.callerAddress)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%04x%04x%08x", s.seed, number, n)
		body := strings.Repeat("u", uploadSizes[s.randomIndex(len(uploadSizes))])
		s.exchange(c, id, http.MethodPost, "/book/x", body, s.randomBool(), noIndex)
		c.Close()
	}
}
