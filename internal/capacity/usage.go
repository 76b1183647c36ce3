package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of processor time in /proc, which Linux fixes for
// user programs.
const ticksPerSecond = 100

// usage is what a process has consumed.
type usage struct {
	cpuSeconds    float64
	residentBytes float64
}

// usageOf reads /proc for a process id.
func usageOf(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The second field is the program's name in parentheses and may hold spaces.
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
