// Command backendd simulates the backend servers of one service. It hosts one or
// more endpoints with a limit of concurrent requests, a cold start, load shedding,
// draining, cancellation and deadlines. Gray failures can be injected for all or
// for selected teams. It counts the executions of every idempotency key.
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

var errEndpointFormat = eris.New("an endpoint must have the form name=ip:port")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "backendd",
		Usage: "simulate the backend servers of one service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "service name"},
			&cli.StringSliceFlag{Name: "endpoint", Required: true, Usage: "name=ip:port, once per endpoint"},
			&cli.IntFlag{Name: "slots", Value: 4, Usage: "concurrent requests per endpoint"},
			&cli.IntFlag{Name: "queue", Value: 4, Usage: "requests that may wait for a slot, per endpoint; more are shed"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "mean processing time of a request"},
			&cli.DurationFlag{Name: "cold", Value: 2 * time.Second, Usage: "duration of the cold start, during which processing takes four times as long"},
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
			return eris.Wrapf(errEndpointFormat, "%q", argument)
		}
		e := newEndpoint(endpointSettings{
			service: c.String("service"), name: name,
			slots: c.Int("slots"), queue: c.Int("queue"), processingTime: c.Duration("work"),
			coldUntil: time.Now().Add(c.Duration("cold")),
		})
		addServer(&group, address, e.routes())
	}
	stopped, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopped.Done()
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
