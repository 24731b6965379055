package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/config"
)

func (p *program) servicesCommand() *cli.Command {
	return &cli.Command{
		Name:        "services",
		Usage:       "list the services, or print the accepted description of one",
		ArgsUsage:   "[SERVICE]",
		Description: "The printed description is a document that can be edited and given to plan.",
		Action:      p.services,
	}
}

func (p *program) services(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 0, 1)
	if err != nil {
		return err
	}
	client, err := p.client(command)
	if err != nil {
		return err
	}
	if len(names) == 1 {
		service, err := client.Service(ctx, names[0])
		if err != nil {
			return err
		}
		return writeJSON(p.stdout, config.Document{Services: []config.Service{service}})
	}
	list, err := client.Services(ctx)
	if err != nil {
		return err
	}
	return p.show(command, list, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", list.Revision)
		fmt.Fprintln(w, "SERVICE\tENDPOINTS\tFLOOR\tROUTES\tWEIGHTING\tCLASSES")
		for _, s := range list.Services {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\n",
				s.Name, s.Endpoints, s.Floor, s.Routes, s.Weighting, strings.Join(s.Classes, ","))
		}
	})
}
