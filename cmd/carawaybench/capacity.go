package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/urfave/cli/v3"
)

// The sizes of the fleet to design for.
const (
	targetNodes     = 5300
	targetEndpoints = 200_000
	targetServices  = 6400
	targetRoutes    = 70_000
	targetTeams     = 790_000
)

// capacityCommand measures the slopes of memory, processor time and message
// sizes.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure state, processor time and message sizes at several sizes and fit slopes",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println("| what | measured | slope | residual | at the size to design for |")
			fmt.Println("| --- | --- | --- | --- | --- |")
			for _, measure := range capacityMeasurements() {
				row, err := measure()
				if err != nil {
					return err
				}
				fmt.Println(row.markdown())
			}
			return nil
		},
	}
}

func capacityMeasurements() []func() (slopeRow, error) {
	return []func() (slopeRow, error){
		tableMemory, tableTime, tableChangeTime, teamMemory, endpointMemory, documentBytes, headBytes, changeTime, deltaBytes,
		startupTime, memberMemory, memberMessages, memberMessageBytes, memberTime, rankingTime, reportBytes, evaluatorTime, evaluatorMemory,
		ledgerBytes, draftTime,
	}
}

// heapOf returns the heap bytes that the value returned by build keeps alive.
// The inputs are kept alive throughout, so that freeing them doesn't distort
// the difference.
func heapOf(build func() any, inputs ...any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	runtime.KeepAlive(inputs)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// shortestTime returns the duration in nanoseconds of the fastest of several
// runs of work, which other processes disturbed the least.
func shortestTime(runs int, work func()) float64 {
	best := time.Duration(0)
	for range runs {
		started := time.Now()
		work()
		if elapsed := time.Since(started); best == 0 || elapsed < best {
			best = elapsed
		}
	}
	return float64(best.Nanoseconds())
}

// bySize measures a value at several sizes.
func bySize(sizes []int, measure func(size int) (float64, error)) ([]sample, error) {
	var samples []sample
	for _, size := range sizes {
		value, err := measure(size)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample{size: float64(size), value: value})
	}
	return samples, nil
}
