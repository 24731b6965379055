// Command carawayctl is the command-line client for operators: it plans and confirms
// configuration changes and shows the state of a fleet.
//
// Exit codes: 0 success, 1 other failure or declined at the prompt, 2 invalid input,
// 3 the plan is stale, 4 no proxy, or no proxy that could reach the platform, responded
// and this run applied nothing, 5 the result of a confirmation is unknown and the same
// confirmation can be sent again. If a repeated confirmation exits with 4 after a 5,
// the result is still unknown; 0, 2 and 3 are final.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := newProgram(os.Stdin, os.Stdout, os.Stderr, isTerminal(os.Stdin)).run(ctx, os.Args)
	stop()
	os.Exit(code)
}

// isTerminal reports whether the file is a character device. That includes devices such
// as /dev/null, which give an empty answer to the prompt and so decline it.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
