package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/protocol/operator"
)

func (p *program) planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what a document would change; applies nothing",
		ArgsUsage: "FILE",
		Description: "FILE describes services in JSON with comments; - reads standard input.\n" +
			"With --output json the plan file is printed instead of the difference.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write the plan file for carawayctl confirm"},
			&cli.BoolFlag{Name: "confirm", Usage: "ask on the terminal and then apply; scripts use plan and confirm"},
		},
		Action: p.plan,
	}
}

func (p *program) plan(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	interactive := command.Bool("confirm")
	if interactive && !p.terminal {
		return usageError("--confirm asks on a terminal and there is none; use plan --out PLANFILE and confirm PLANFILE")
	}
	if interactive && names[0] == "-" {
		return usageError("--confirm reads the answer from standard input, so the document must be a file")
	}
	client, err := p.client(command)
	if err != nil {
		return err
	}
	document, err := p.read(names[0])
	if err != nil {
		return err
	}
	plan, err := client.Plan(ctx, document)
	if err != nil {
		return err
	}
	file := planFile{Operation: uuid.NewString(), Plan: plan}
	if out := command.String("out"); out != "" {
		if err := writePlanFile(out, file); err != nil {
			return err
		}
	}
	if err := p.show(command, file, func(w io.Writer) { showPlan(w, file, command.String("out")) }); err != nil {
		return err
	}
	if !interactive {
		return nil
	}
	if !p.promptYes("Apply this plan?") {
		return errDeclined
	}
	return p.apply(ctx, command, client, file)
}

func showPlan(w io.Writer, file planFile, path string) {
	fmt.Fprintf(w, "plan on revision %d\n%s", file.Plan.BaseRevision, file.Plan.Difference)
	for _, warning := range file.Plan.Warnings {
		fmt.Fprintf(w, "warning: %s\n", warning)
	}
	if path != "" {
		fmt.Fprintf(w, "nothing is applied yet; confirm with: carawayctl confirm %s\n", path)
	}
}

// promptYes prints a question and reads a line. It returns true only for "yes".
func (p *program) promptYes(question string) bool {
	fmt.Fprintf(p.stdout, "%s Only \"yes\" applies it: ", question)
	line, _ := bufio.NewReader(p.stdin).ReadString('\n')
	return strings.TrimSpace(line) == "yes"
}

func (p *program) apply(ctx context.Context, command *cli.Command, client *operator.Client, file planFile) error {
	name := command.String("operator")
	if name == "" {
		return usageError("no operator name is given; use --operator or the environment variable " + operatorVariable)
	}
	confirmed, err := client.Confirm(ctx, operator.Confirmation{
		Operation: file.Operation,
		Operator:  name,
		Plan:      file.Plan,
	})
	if err != nil {
		return err
	}
	return p.show(command, confirmed, func(w io.Writer) {
		switch {
		case !confirmed.Changed:
			fmt.Fprintf(w, "nothing to change; the configuration is at revision %d\n", confirmed.Revision)
		case confirmed.Repeated:
			fmt.Fprintf(w, "already accepted earlier as revision %d\n", confirmed.Revision)
		default:
			fmt.Fprintf(w, "accepted as revision %d\n", confirmed.Revision)
		}
	})
}
