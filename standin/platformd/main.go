// Command platformd simulates the platform API: versioned objects with conditional
// updates and watches, and a list of VMs that can lag behind. Faults can be injected
// while it runs. It keeps all data in memory.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const shutdownTimeout = 2 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "platformd",
		Usage: "simulate the platform API for tests and demonstrations",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "IP address and port to listen on"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"))
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "platformd:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, listen string) error {
	server := &http.Server{
		Addr:              listen,
		Handler:           newAPI(newStore(), newInventory(), newFaults()).routes(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		<-ctx.Done()
		deadline, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(deadline); err != nil {
			server.Close()
		}
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "cannot listen on %s", listen)
	}
	return nil
}
