package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/cmd/carawaybench/internal/detection"
)

const (
	defaultDetectionSeed = 20261204
	defaultDetectionRuns = 10
)

func detectionCommand() *cli.Command {
	return &cli.Command{
		Name:  "detection",
		Usage: "detection time against false ejections, beside five consecutive errors per proxy",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: defaultDetectionSeed, Usage: "seed of all runs"},
			&cli.IntFlag{Name: "runs", Value: defaultDetectionRuns, Usage: "runs per service and scenario"},
			&cli.IntFlag{Name: "workers", Value: max(1, runtime.NumCPU()/4), Usage: "runs at the same time"},
			&cli.StringFlag{Name: "plot", Usage: "file to write the SVG plot to"},
		},
		Action: runDetection,
	}
}

func runDetection(_ context.Context, c *cli.Command) error {
	if c.Int("runs") < 1 {
		return eris.Errorf("-runs is %d, must be at least 1", c.Int("runs"))
	}
	seed := c.Uint64("seed")
	r := detection.Measure(seed, c.Int("runs"), max(1, c.Int("workers")))
	fmt.Printf("seed %d, %d runs per service and scenario\n\n", seed, c.Int("runs"))
	fmt.Print(r.Markdown())
	if name := c.String("plot"); name != "" {
		if err := os.WriteFile(name, []byte(r.SVG()), 0o644); err != nil {
			return eris.Wrap(err, "cannot write the plot")
		}
	}
	return nil
}
