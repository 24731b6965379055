package proxylog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Count is the number of requests that ended one way in one minute.
type Count struct {
	Minute  time.Time `json:"minute"`
	Outcome string    `json:"outcome"` // the message of the line
	Reason  string    `json:"reason"`
	Service string    `json:"service,omitempty"`
	Lines   int       `json:"lines"`
}

// Summary counts unserved requests by minute and cause.
type Summary struct {
	counts  map[Count]int
	leftOut int
}

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{counts: map[Count]int{}} }

// unserved are the messages that end a request that was not served.
var unserved = []string{"request: refused", "request: failed", "request: caller left"}

// Take takes the next line.
func (s *Summary) Take(l *Line) {
	switch {
	case strings.HasPrefix(l.message, leftOutPrefix):
		if of := l.text("of"); of == "" || slices.Contains(unserved, of) {
			s.leftOut += int(l.number("count"))
		}
	case slices.Contains(unserved, l.message):
		s.counts[Count{
			Minute: l.at.UTC().Truncate(time.Minute), Outcome: l.message, Reason: l.text("reason"), Service: l.text("service"),
		}]++
	}
}

// LeftOut returns how many lines about unserved requests, or about anything, the proxies
// say they did not write: each counted line may stand for more.
func (s *Summary) LeftOut() int { return s.leftOut }

// Counts returns the counts by minute, the largest first.
func (s *Summary) Counts() []Count {
	var list []Count
	for c, n := range s.counts {
		c.Lines = n
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(a.Minute.Compare(b.Minute), cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Service, b.Service))
	})
	return list
}
