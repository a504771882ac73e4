package measure

import (
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used, or 0 if the system call fails.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
