package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/protocol/operator"
)

const maxServiceArguments = 1000

func (p *program) endpointsCommand() *cli.Command {
	return &cli.Command{
		Name:      "endpoints",
		Usage:     "show how a proxy treats the endpoints of services, with the evidence against them",
		ArgsUsage: "[SERVICE...]",
		Action:    p.endpoints,
	}
}

func (p *program) endpoints(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 0, maxServiceArguments)
	if err != nil {
		return err
	}
	client, err := p.client(command)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		list, err := client.Services(ctx)
		if err != nil {
			return err
		}
		for _, s := range list.Services {
			names = append(names, s.Name)
		}
	}
	all := []operator.ServiceEndpoints{}
	for _, name := range names {
		endpoints, err := client.Endpoints(ctx, name)
		if err != nil {
			return err
		}
		all = append(all, endpoints)
	}
	return p.show(command, all, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tENDPOINT\tADDRESS\tZONE\tSTATE\tWEIGHT\tIN FLIGHT\tEVIDENCE")
		for _, s := range all {
			for _, e := range s.Endpoints {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.2f\t%d/%d\t%s\n",
					s.Service, e.Name, e.Address, e.Zone, e.State, e.Weight, e.InFlight, e.Limit, evidenceText(e.Evidence))
			}
		}
	})
}

func evidenceText(evidence []operator.Evidence) string {
	var parts []string
	for _, e := range evidence {
		part := e.Kind
		if e.Count > 0 {
			part += fmt.Sprintf(" ×%d", e.Count)
		}
		switch {
		case e.Threshold > 0:
			part += fmt.Sprintf(" (score %.1f of %.1f)", e.Score, e.Threshold)
		case e.Score > 0:
			part += fmt.Sprintf(" (score %.1f)", e.Score)
		}
		if e.Detail != "" {
			part += ": " + e.Detail
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
