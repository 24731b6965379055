// Command backendd is a stand-in for the backend servers of one service. It
// hosts one or more endpoints with slots, cold start, shedding, draining,
// cancellation and deadlines, and gray failures that can be switched on for
// chosen callers. It counts the runs of every idempotency key.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const shutdownTimeout = 5 * time.Second

var errBadEndpoint = eris.New("an endpoint must have the form name=ip:port")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "backendd",
		Usage: "stand-in for the backend servers of one service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "service name"},
			&cli.StringSliceFlag{Name: "endpoint", Required: true, Usage: "name=ip:port, once per endpoint"},
			&cli.IntFlag{Name: "slots", Value: 4, Usage: "requests worked on at the same time, per endpoint"},
			&cli.IntFlag{Name: "queue", Value: 4, Usage: "requests that wait for a slot before the endpoint sheds"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "mean time of work on a request"},
			&cli.DurationFlag{Name: "cold", Value: 2 * time.Second, Usage: "length of the cold start, with work four times as long"},
		},
		Action: serve,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "backendd:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	var group run.Group
	for _, argument := range c.StringSlice("endpoint") {
		name, address, ok := strings.Cut(argument, "=")
		if !ok {
			return eris.Wrapf(errBadEndpoint, "%q", argument)
		}
		e := newEndpoint(endpointSettings{
			service: c.String("service"), name: name,
			slots: c.Int("slots"), queue: c.Int("queue"), work: c.Duration("work"),
			warmAt: time.Now().Add(c.Duration("cold")),
		})
		addServer(&group, address, e.routes())
	}
	ended, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ended.Done()
		return nil
	}, func(error) { cancel() })
	return group.Run()
}

func addServer(group *run.Group, address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	group.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "cannot listen on %s", address)
		}
		return nil
	}, func(error) {
		deadline, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(deadline); err != nil {
			server.Close()
		}
	})
}
