package clock

import "golang.org/x/sys/unix"

// Suspended returns for how long the host has been suspended since it booted. The clock of
// System does not count that time, so a lease that was counted on it may have ended if the
// result has changed since.
func Suspended() Millis {
	var withSuspension, without unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &without) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspension) != nil {
		return 0 // no such clock on this kernel
	}
	return Millis((withSuspension.Nano() - without.Nano()) / 1e6)
}
