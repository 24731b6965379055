// Command loadgen sends requests to a fleet of proxies at fixed rates, records
// every response, and writes latency percentiles and a report with plots.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/standin/loadplan"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "loadgen",
		Usage: "send load to proxies and record every response",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Required: true, Usage: "JSON file with targets and flows"},
			&cli.StringFlag{Name: "out", Value: "out", Usage: "directory for results.json and report.html"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return generate(ctx, c.String("plan"), c.String("out"))
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

func generate(ctx context.Context, planPath, out string) error {
	p, err := loadplan.Read(planPath)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return eris.Wrap(err, "cannot create the output directory")
	}
	b := newBalancer(p.Targets, p.BalancerLag())
	go b.run(ctx)
	b.waitReady(ctx, time.Now().Add(p.ReadyTimeout()))
	rec := newRecorder(p.Flows, time.Now())
	newGenerator(p, b, rec).run(ctx)
	results := rec.results()
	content, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "cannot encode the results")
	}
	if err := os.WriteFile(filepath.Join(out, "results.json"), content, 0o644); err != nil {
		return eris.Wrap(err, "cannot write the results")
	}
	if err := writeReport(filepath.Join(out, "report.html"), results); err != nil {
		return err
	}
	fmt.Print(results.table())
	return nil
}
