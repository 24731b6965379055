package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func (p *program) confirmCommand() *cli.Command {
	return &cli.Command{
		Name:      "confirm",
		Usage:     "apply a plan; the same plan file can be confirmed again after exit code 4 or 5",
		ArgsUsage: "PLANFILE",
		Action:    p.confirm,
	}
}

func (p *program) confirm(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	client, err := p.client(command)
	if err != nil {
		return err
	}
	file, err := p.readPlanFile(names[0])
	if err != nil {
		return err
	}
	return p.apply(ctx, command, client, file)
}
