package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/protocol/operator"
)

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show readiness, revision and freshness of a proxy and what it knows of the others",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "all", Usage: "ask every given server instead of the first that answers"},
		},
		Action: p.status,
	}
}

// serverStatus is the status of one server, or the error of the request for it.
type serverStatus struct {
	Server string           `json:"server"`
	Status *operator.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

func (p *program) status(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	client, err := p.client(command)
	if err != nil {
		return err
	}
	if command.Bool("all") {
		return p.statusOfAll(ctx, command, client.Servers())
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return p.show(command, status, func(w io.Writer) { showStatus(w, status) })
}

// statusOfAll shows the status of all servers. If some did not respond, it then returns
// the error of the last of them.
func (p *program) statusOfAll(ctx context.Context, command *cli.Command, servers []string) error {
	var all []serverStatus
	var failure error
	for _, s := range servers {
		client, err := operator.NewClient([]string{s}, operator.WithCallTimeout(command.Duration("timeout")))
		if err != nil {
			return err
		}
		entry := serverStatus{Server: s}
		status, err := client.Status(ctx)
		if err != nil {
			failure = err
			entry.Error = err.Error()
		} else {
			entry.Status = &status
		}
		all = append(all, entry)
	}
	err := p.show(command, all, func(w io.Writer) {
		for _, s := range all {
			if s.Status != nil {
				fmt.Fprintf(w, "%s: %s\n", s.Server, statusLine(*s.Status))
			} else {
				fmt.Fprintf(w, "%s: no answer\n", s.Server)
			}
		}
	})
	if err != nil {
		return err
	}
	return failure
}

func statusLine(s operator.Status) string {
	ready := "ready"
	if !s.Ready {
		ready = "not ready (" + s.Reason + ")"
	}
	return fmt.Sprintf("proxy %s in %s, %s, revision %d of %d, confirmed by the platform %s",
		s.Proxy, s.Zone, ready, s.Revision, s.KnownRevision, formatAge(s.ConfirmedAgeMillis))
}

func showStatus(w io.Writer, s operator.Status) {
	fmt.Fprintln(w, statusLine(s))
	others := slices.DeleteFunc(slices.Clone(s.Members), func(m operator.MemberStatus) bool { return m.Name == s.Proxy })
	if len(others) == 0 {
		return
	}
	fmt.Fprintln(w, "PROXY\tZONE\tADDRESS\tSTATE\tREVISION\tREPORTED")
	behind := 0
	for _, m := range others {
		revision, reported := fmt.Sprint(m.Revision), formatAge(m.AgeMillis)
		switch {
		case m.Revision == 0:
			revision, reported = "unknown", "-"
		case m.Revision < s.KnownRevision:
			revision += " (behind)"
		}
		if m.Revision < s.KnownRevision {
			behind++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Zone, m.Address, m.State, revision, reported)
	}
	fmt.Fprintf(w, "%d of %d other proxies have not confirmed revision %d\n", behind, len(others), s.KnownRevision)
}
