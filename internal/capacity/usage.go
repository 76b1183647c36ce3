package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the number of processor time units per second in /proc. Linux
// uses a fixed value towards user programs.
const ticksPerSecond = 100

// usage is the processor time and memory that a process has used.
type usage struct {
	cpuSeconds    float64
	residentBytes float64
}

// usageOf reads the usage of the process from /proc.
func usageOf(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The second field is the program's name in parentheses, which may contain
	// spaces. fields therefore starts with the third field.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return usage{}, fmt.Errorf("unexpected content of /proc/%d/stat", pid)
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	if err != nil {
		return usage{}, err
	}
	pages, err := strconv.ParseFloat(fields[21], 64)
	if err != nil {
		return usage{}, err
	}
	return usage{cpuSeconds: (user + system) / ticksPerSecond, residentBytes: pages * float64(os.Getpagesize())}, nil
}
