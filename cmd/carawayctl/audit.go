package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

func (p *program) auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list accepted changes, newest first",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "only changes of this service"},
			&cli.BoolFlag{Name: "ejections", Usage: "ejections of the service with their evidence instead of changes"},
			&cli.IntFlag{Name: "limit", Usage: "entries in one page", Value: 20},
			&cli.Int64Flag{Name: "before", Usage: "continue an earlier listing"},
		},
		Action: p.audit,
	}
}

func (p *program) audit(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	client, err := p.client(command)
	if err != nil {
		return err
	}
	service, before, limit := command.String("service"), command.Int64("before"), command.Int("limit")
	if command.Bool("ejections") {
		if service == "" {
			return usageError("--ejections needs --service")
		}
		page, err := client.Ejections(ctx, service, before, limit)
		if err != nil {
			return err
		}
		return p.show(command, page, func(w io.Writer) {
			fmt.Fprintln(w, "TIME\tPROXY\tACTION\tENDPOINT\tKIND\tEVIDENCE")
			for _, e := range page.Entries {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\n", e.Time.Format(time.RFC3339),
					e.Proxy, e.Action, e.Entry.Endpoint, e.Entry.Kind, e.Entry.Evidence)
			}
			showContinuation(w, page.Before)
		})
	}
	page, err := client.Audit(ctx, service, before, limit)
	if err != nil {
		return err
	}
	return p.show(command, page, func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tOPERATOR\tBASE\tOPERATION\tSUMMARY")
		for _, e := range page.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\t%s\n",
				e.Revision, e.Time().UTC().Format(time.RFC3339), e.Operator, e.Base, e.Operation, e.Summary)
		}
		showContinuation(w, page.Before)
	})
}

func showContinuation(w io.Writer, before int64) {
	if before > 0 {
		fmt.Fprintf(w, "older entries: repeat with --before %d\n", before)
	}
}
