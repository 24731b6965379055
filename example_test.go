package carawayhold_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

// A program reports the outcomes of its requests to the evaluator and drafts an
// ejection that respects the capacity floor.
func Example() {
	description := config.Service{Name: "depot", Floor: 3, Weighting: config.WeightingDetection}
	for n := range 5 {
		description.Endpoints = append(description.Endpoints,
			config.Endpoint{Name: fmt.Sprintf("depot-%d", n+1), Zone: "finistere", Slots: 6})
	}
	service := carawayhold.New(description, "finistere", rand.New(rand.NewPCG(1, 1)))

	now := time.Now()
	recorder := outlier.NewRecorder("entry-1", "finistere")
	for range 40 {
		for n, e := range description.Endpoints {
			kind := outlier.KindOK
			if n == 1 {
				kind = outlier.KindInvalid
			}
			recorder.Record(description.Name, e.Name, 1, kind)
		}
		now = now.Add(outlier.ReportInterval)
		for _, report := range recorder.Drain() {
			service.Evaluator().Add(report, now)
		}
	}

	ledger, _ := service.Ledger().Ledger()
	draft := ejection.NewDraft(ledger, service.Capacity(1), "entry-1", "operation-1", now)
	for _, suspect := range service.Evaluator().Suspects(now) {
		err := draft.Propose(ejection.Candidate{
			Endpoint: suspect.Endpoint, Kind: suspect.Kind.String(), Evidence: suspect.Evidence,
		})
		fmt.Println(suspect.Endpoint, suspect.Kind, err)
	}
	// Output: depot-2 wrong <nil>
}
