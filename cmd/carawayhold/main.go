// Command carawayhold runs one proxy of the fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/process"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "carawayhold:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "carawayhold",
		Usage: "run one proxy of the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Value: "carawayhold.jsonc", Usage: "settings file, JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file, print all mistakes and exit"},
		},
		Action: start,
	}
}

func start(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := load(path)
	if err != nil || c.Bool("check") {
		return err
	}
	logger, err := process.NewLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	return process.New(s, logger).Run(ctx)
}

// load reads the settings and prints all mistakes in them to standard error.
func load(path string) (settings.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, eris.Wrap(err, "cannot read the settings")
	}
	s, mistakes := settings.Parse(content)
	for _, m := range mistakes {
		fmt.Fprintf(os.Stderr, "%s:%s\n", path, m)
	}
	if len(mistakes) > 0 {
		return s, eris.Errorf("%d mistakes in the settings", len(mistakes))
	}
	return s, nil
}
