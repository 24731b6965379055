// Command soak runs proxies of the platform as processes on loopback, disturbs them
// from outside with series that overlap, and checks the promises from what callers
// and endpoints see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	program := &cli.Command{
		Name:  "soak",
		Usage: "disturb a fleet of real processes at random and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/platform", Usage: "program of the proxy"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after the other"},
			&cli.IntFlag{Name: "proxies", Value: 6, Usage: "number of proxies"},
			&cli.DurationFlag{Name: "length", Value: 12 * time.Second, Usage: "length of the load of a seed"},
			&cli.StringFlag{Name: "out", Value: "out/soak", Usage: "directory for logs"},
		},
		Action: run,
	}
	if err := program.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

var errBroken = errors.New("a promise was broken")

func run(_ context.Context, c *cli.Command) error {
	failed := 0
	first := c.Uint64("seed")
	for seed := first; seed < first+uint64(c.Int("seeds")); seed++ {
		s, err := newScene(seed, c.String("program"), c.String("out"), c.Int("proxies"))
		if err != nil {
			return err
		}
		r := s.play(c.Duration("length"))
		fmt.Printf("seed %d: %s\n", seed, r)
		for _, fault := range r.broken {
			fmt.Printf("seed %d: BROKEN: %s\n", seed, fault)
		}
		if len(r.broken) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w with %d seeds", errBroken, failed)
	}
	return nil
}
