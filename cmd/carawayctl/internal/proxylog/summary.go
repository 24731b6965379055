package proxylog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Count is the number of requests with the same outcome, reason and service in one minute.
type Count struct {
	Minute  time.Time `json:"minute"`
	Outcome string    `json:"outcome"` // message of the log line
	Reason  string    `json:"reason"`
	Service string    `json:"service,omitempty"`
	Lines   int       `json:"lines"`
}

// Summary counts requests that were not served, by minute and cause.
type Summary struct {
	counts  map[Count]int
	omitted int
}

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{counts: map[Count]int{}} }

// unservedMessages are the final log messages of requests that were not served.
var unservedMessages = []string{"request: refused", "request: failed", "request: caller left"}

// Add adds a line to the counts. Lines may be added in any order.
func (s *Summary) Add(l *Line) {
	switch {
	case strings.HasPrefix(l.message, omittedLinesPrefix):
		if of := l.text("of"); of == "" || slices.Contains(unservedMessages, of) {
			s.omitted += int(l.number("count"))
		}
	case slices.Contains(unservedMessages, l.message):
		s.counts[Count{
			Minute: l.at.UTC().Truncate(time.Minute), Outcome: l.message, Reason: l.text("reason"), Service: l.text("service"),
		}]++
	}
}

// Omitted returns the number of lines that the proxies report not to have written and that
// may have been about unserved requests. The counts can be too low by that number.
func (s *Summary) Omitted() int { return s.omitted }

// Counts returns the counts sorted by minute, and within a minute from the largest to the
// smallest.
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
