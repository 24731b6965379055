package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

var (
	endpointSizes = []int{2000, 20_000, 200_000}
	poolSizes     = []int{10, 31, 100}
	entrySizes    = []int{1, 4, 16}
)

const (
	benchSeed      = 1
	typicalPool    = 31 // 200,000 endpoints in 6,400 services
	typicalEntries = 4
	messageRounds  = 200
)

func deltaBytes() (slopeRow, error) {
	samples, err := bySize(serviceSizes, func(size int) (float64, error) {
		head, _, err := newHead(size)
		if err != nil {
			return 0, err
		}
		next, documents, err := changeOne(head)
		if err != nil {
			return 0, err
		}
		delta, err := next.Since(head.Revision)
		if err != nil {
			return 0, err
		}
		encoded, err := peer.Encode(delta)
		total := float64(len(encoded))
		for name, value := range documents {
			total += float64(len(name) + len(value))
		}
		return total, err
	})
	return slopeRow{name: "bytes on the wire for a change of one service", unit: "B/service", samples: samples, target: targetServices}, err
}

// reportOf returns a report about count endpoints.
func reportOf(count int, sequence uint64, random *rand.Rand) outlier.Report {
	r := outlier.Report{Reporter: "mg8x1a2b-1k2m3n4o5p6q7", Zone: "zone-01", Service: "service-00001", Sequence: sequence}
	for n := range count {
		r.Counts = append(r.Counts, outlier.Counts{
			Endpoint: fmt.Sprintf("endpoint-%06d", n), Generation: 1,
			Kinds: []uint32{uint32(20 + random.IntN(20)), 0, uint32(random.IntN(2))},
		})
	}
	return r
}

func reportBytes() (slopeRow, error) {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	samples, err := bySize(poolSizes, func(size int) (float64, error) {
		encoded, err := peer.Encode(reportOf(size, 1, random))
		return float64(len(encoded)), err
	})
	return slopeRow{name: "evidence report", unit: "B/endpoint", samples: samples, target: typicalPool}, err
}

func evaluatorTime() (slopeRow, error) {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	samples, err := bySize(poolSizes, func(size int) (float64, error) {
		evaluator := outlier.NewEvaluator(config.WeightingBalanced)
		now := time.Now()
		var failed error
		sequence := uint64(0)
		elapsed := shortestTime(buildRuns, func() {
			for range messageRounds {
				sequence++
				encoded, err := peer.Encode(reportOf(size, sequence, random))
				if err != nil {
					failed = err
					return
				}
				var report outlier.Report
				if failed = msgpack.Unmarshal(encoded, &report); failed != nil {
					return
				}
				now = now.Add(outlier.ReportInterval)
				evaluator.Add(report, now)
			}
		})
		return elapsed / messageRounds, failed
	})
	return slopeRow{name: "processor time to encode, decode and add an evidence report", unit: "ns/endpoint", samples: samples, target: typicalPool}, err
}

func evaluatorMemory() (slopeRow, error) {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	samples, err := bySize(poolSizes, func(size int) (float64, error) {
		return heapOf(func() any {
			var list []*outlier.Evaluator
			for range messageRounds {
				e := outlier.NewEvaluator(config.WeightingBalanced)
				e.Add(reportOf(size, 1, random), time.Now())
				list = append(list, e)
			}
			return list
		}) / messageRounds, nil
	})
	return slopeRow{name: "memory of one service's evaluator", unit: "B/endpoint", samples: samples, target: typicalPool}, err
}

// ledgerOf returns a ledger with count entries, and a pool large enough to
// allow them.
func ledgerOf(count int, now time.Time) (ejection.Ledger, ejection.Pool, error) {
	names := make([]string, 4*count)
	for n := range names {
		names[n] = fmt.Sprintf("endpoint-%06d", n)
	}
	pool := ejection.NewPool(1, 1, names)
	draft := ejection.NewDraft(ejection.Ledger{Service: "service-00001"}, pool, "mg8x1a2b-1k2m3n4o5p6q7", "operation", now)
	for _, name := range names[:count] {
		if err := draft.Propose(ejection.Candidate{Endpoint: name, Kind: "wrong", Evidence: 12.5}); err != nil {
			return ejection.Ledger{}, pool, err
		}
	}
	ledger, _, err := draft.Finish()
	return ledger, pool, err
}

func ledgerBytes() (slopeRow, error) {
	samples, err := bySize(entrySizes, func(size int) (float64, error) {
		ledger, _, err := ledgerOf(size, time.Now())
		if err != nil {
			return 0, err
		}
		value, err := ledger.Encode()
		return float64(len(value)), err
	})
	return slopeRow{name: "value of an ejection ledger", unit: "B/entry", samples: samples, target: typicalEntries}, err
}

func draftTime() (slopeRow, error) {
	samples, err := bySize(entrySizes, func(size int) (float64, error) {
		now := time.Now()
		var failed error
		elapsed := shortestTime(buildRuns, func() {
			for range messageRounds {
				if _, _, failed = ledgerOf(size, now); failed != nil {
					return
				}
			}
		})
		return elapsed / messageRounds, failed
	})
	return slopeRow{name: "processor time to draft a ledger", unit: "ns/entry", samples: samples, target: typicalEntries}, err
}
