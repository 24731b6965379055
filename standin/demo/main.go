// Command demo runs a small fleet as plain processes on loopback, sends load
// through it, makes an endpoint fail grayly, kills and stops proxies, and
// checks what the callers saw against what the backend servers ran.
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
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the built programs"},
			&cli.StringFlag{Name: "out", Value: "out/demo", Usage: "directory for settings, logs and the report"},
			&cli.IntFlag{Name: "proxies", Value: 6, Usage: "number of proxies, spread over three availability zones"},
			&cli.FloatFlag{Name: "seconds", Value: 40, Usage: "length of the load in seconds"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDemo(ctx, settingsOf(c))
		},
		Commands: []*cli.Command{{
			Name:  "rollout",
			Usage: "measure the time from acceptance of a change to force on every proxy",
			Flags: []cli.Flag{&cli.IntFlag{Name: "changes", Value: 20, Usage: "number of changes"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return measureRollout(ctx, settingsOf(c), c.Int("changes"))
			},
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func settingsOf(c *cli.Command) demoSettings {
	return demoSettings{
		bin: c.String("bin"), out: c.String("out"),
		proxies: c.Int("proxies"), seconds: c.Float("seconds"),
	}
}
