// Command demo runs a small fleet as plain processes on loopback, sends load
// through it, injects a gray failure into an endpoint, kills and stops proxies,
// and compares the responses that callers received with the requests that the
// backend servers processed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet under load and faults on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the executables"},
			&cli.StringFlag{Name: "out", Value: "out/demo", Usage: "directory for settings, logs and the report"},
			&cli.IntFlag{Name: "proxies", Value: 6, Usage: "number of proxies, spread over three availability zones"},
			&cli.FloatFlag{Name: "seconds", Value: 40, Usage: "duration of the load in seconds"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDemo(ctx, settingsFromFlags(c))
		},
		Commands: []*cli.Command{{
			Name:  "rollout",
			Usage: "measure the time from acceptance of a change until every proxy applies it",
			Flags: []cli.Flag{&cli.IntFlag{Name: "changes", Value: 20, Usage: "number of consecutive changes"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return measureRollout(ctx, settingsFromFlags(c), c.Int("changes"))
			},
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func settingsFromFlags(c *cli.Command) demoSettings {
	return demoSettings{
		bin: c.String("bin"), out: c.String("out"),
		proxies: c.Int("proxies"), seconds: c.Float("seconds"),
	}
}
