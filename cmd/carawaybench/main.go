// Command carawaybench measures the components of carawayhold with seeded
// runs.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

var subcommands = []func() *cli.Command{
	capacityCommand,
	detectionCommand,
	latencyCommand,
	loadCommand,
	onceCommand,
	overloadCommand,
}

func main() {
	root := &cli.Command{
		Name:  "carawaybench",
		Usage: "measure detection, load and capacity with seeded runs",
	}
	for _, s := range subcommands {
		root.Commands = append(root.Commands, s())
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "carawaybench:", err)
		os.Exit(1)
	}
}
