// Command carawaybench measures the decision code and the proxy.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:     "carawaybench",
		Usage:    "measure the decision code and the proxy",
		Commands: commands(),
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "carawaybench:", err)
		os.Exit(1)
	}
}

// commands lists the measurements.
func commands() []*cli.Command {
	return []*cli.Command{
		capacityCommand(),
	}
}
