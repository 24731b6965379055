package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/protocol/operator"
)

const (
	serversVariable  = "CARAWAYHOLD_SERVERS"
	operatorVariable = "CARAWAYHOLD_OPERATOR"
	defaultTimeout   = 10 * time.Second

	outputText = "text"
	outputJSON = "json"
)

// program contains what one run of the command line uses of its environment.
type program struct {
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
	terminal bool
	clock    operator.Clock
}

func newProgram(stdin io.Reader, stdout, stderr io.Writer, terminal bool) *program {
	return &program{stdin: stdin, stdout: stdout, stderr: stderr, terminal: terminal, clock: operator.SystemClock{}}
}

// run executes a command line, whose first argument is the program name, and returns the
// exit code.
func (p *program) run(ctx context.Context, arguments []string) int {
	command := p.command()
	err := command.Run(ctx, arguments)
	if err != nil {
		p.showError(command, err)
	}
	return exitCode(err)
}

// showError prints an error to standard error, as JSON if that output is selected and
// the error is a Problem of the operator API.
func (p *program) showError(command *cli.Command, err error) {
	var problem *operator.Problem
	if command.String("output") == outputJSON && errors.As(err, &problem) && writeJSON(p.stderr, problem) == nil {
		return
	}
	fmt.Fprintf(p.stderr, "carawayctl: %v\n", err)
}

func (p *program) command() *cli.Command {
	root := &cli.Command{
		Name:                  "carawayctl",
		Usage:                 "plan and confirm configuration changes and show the state of a carawayhold fleet",
		Reader:                p.stdin,
		Writer:                p.stdout,
		ErrWriter:             p.stderr,
		EnableShellCompletion: true,
		Suggest:               true,
		// Disables the library's error handling: run prints errors and returns the exit
		// code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Description: "Exit codes: 0 done, 1 other failure or declined, 2 bad input, 3 the plan is stale,\n" +
			"4 not reachable and this run applied nothing, 5 result unknown (repeat the same confirmation).",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:    "server",
				Aliases: []string{"s"},
				Usage:   "operator address of a proxy; given several times, the next one is asked when one does not answer",
				Sources: cli.EnvVars(serversVariable),
			},
			&cli.StringFlag{
				Name:    "operator",
				Usage:   "your name, for the audit trail",
				Sources: cli.EnvVars(operatorVariable),
			},
			&cli.StringFlag{
				Name:    "output",
				Aliases: []string{"o"},
				Value:   outputText,
				Usage:   "text or json",
				Validator: func(value string) error {
					if value == outputText || value == outputJSON {
						return nil
					}
					return usageError(fmt.Sprintf("--output %q; want text or json", value))
				},
			},
			&cli.DurationFlag{
				Name:  "timeout",
				Value: defaultTimeout,
				Usage: "time after which the next server is asked",
			},
		},
		Commands: []*cli.Command{
			p.planCommand(), p.confirmCommand(), p.statusCommand(),
			p.auditCommand(), p.endpointsCommand(), p.servicesCommand(), p.explainCommand(),
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return usageError(fmt.Sprintf("unknown command %q; see carawayctl help", command.Args().First()))
			}
			return cli.ShowRootCommandHelp(command)
		},
	}
	usage := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err.Error()) }
	root.OnUsageError = usage
	for _, c := range root.Commands {
		c.OnUsageError = usage
	}
	return root
}

func (p *program) client(command *cli.Command) (*operator.Client, error) {
	servers := command.StringSlice("server")
	if len(servers) == 0 {
		return nil, usageError("no server is given; use --server or the environment variable " + serversVariable)
	}
	return operator.NewClient(servers,
		operator.WithCallTimeout(command.Duration("timeout")), operator.WithClock(p.clock))
}

// arguments returns the positional arguments, or a usageError if there are fewer than
// minimum or more than maximum.
func arguments(command *cli.Command, minimum, maximum int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < minimum || len(given) > maximum {
		return nil, usageError(fmt.Sprintf("%s takes %s, but %d were given; usage: carawayctl %s %s",
			command.Name, describeArgumentCount(minimum, maximum), len(given), command.Name, command.ArgsUsage))
	}
	return given, nil
}

func describeArgumentCount(minimum, maximum int) string {
	if minimum == maximum {
		return fmt.Sprintf("%d argument(s)", minimum)
	}
	return fmt.Sprintf("%d to %d arguments", minimum, maximum)
}
