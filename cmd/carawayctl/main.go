// Command carawayctl is the operators' command line: it plans and confirms
// configuration changes and shows the state of a fleet.
//
// Exit codes: 0 done, 1 other failure or declined at the prompt, 2 bad input,
// 3 the plan is stale, 4 no proxy or no platform is reachable and this run applied
// nothing, 5 the result of a confirmation is unknown and the same confirmation can
// be sent again. After 5, a 4 leaves the result unknown; 0, 2 and 3 are final.
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

// isTerminal reports whether the file is a character device. Devices that are no
// terminal, such as /dev/null, give no answer to a prompt, which counts as no.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
