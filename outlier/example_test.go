package outlier_test

import (
	"fmt"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/outlier"
)

// A proxy counts outcomes and sends a report every 500 ms.
func ExampleRecorder() {
	r := outlier.NewRecorder("entry-1@42", "finistere")
	r.Record("depot", "depot-03", 7, outlier.KindOK)
	r.Record("depot", "depot-03", 7, outlier.KindInvalid)
	for _, report := range r.Drain() {
		c := report.Counts[0]
		fmt.Println(report.Service, c.Endpoint, c.Count(outlier.KindOK), c.Count(outlier.KindInvalid))
	}
	// Output: depot depot-03 1 1
}

// Invalid responses are strong evidence: two suffice for a suspicion.
func ExampleEvaluator() {
	e := outlier.NewEvaluator(config.WeightingBalanced)
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for i, name := range []string{"entry-1@42", "entry-2@43"} {
		r := outlier.NewRecorder(name, "finistere")
		r.Record("depot", "depot-03", 7, outlier.KindInvalid)
		r.Record("depot", "depot-04", 7, outlier.KindOK)
		for _, report := range r.Drain() {
			e.Add(report, now.Add(time.Duration(i)*outlier.ReportInterval))
		}
	}
	for _, s := range e.Suspects(now.Add(time.Second)) {
		fmt.Println(s.Endpoint, s.Kind)
	}
	// Output: depot-03 wrong
}
