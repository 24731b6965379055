package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is a reading of CLOCK_BOOTTIME, which also advances while the machine is
// suspended, so that state received before a suspension is stale after it.
type instant time.Duration

// bootTime returns the current instant. Tests replace the clock.
var bootTime = readBootClock

func readBootClock() instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every Linux kernel that Go supports.
		panic(err)
	}
	return instant(t.Nano())
}

func (a instant) since(earlier instant) time.Duration { return time.Duration(a - earlier) }
