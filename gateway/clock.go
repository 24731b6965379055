package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// age is a moment on a clock that goes on while the machine is suspended, as a
// duration since its start. What was heard before a suspension is old after it.
type age time.Duration

// bootTime returns the present moment.
func bootTime() age {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every Linux kernel that Go supports.
		panic(err)
	}
	return age(t.Nano())
}

func (a age) since(earlier age) time.Duration { return time.Duration(a - earlier) }
