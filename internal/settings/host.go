package settings

import (
	"net/netip"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Host holds the settings of a process of the mesh: a core replica, or a sidecar
// beside a target.
type Host struct {
	Name          string
	FailureDomain string
	// IP is the host's address. PeerPort is where every process of the mesh listens
	// for the others; it is the same on all hosts.
	IP       string
	PeerPort int
	Listen   HostListeners
	// Seeds are IP:port addresses of hosts of the core, to find the others by.
	Seeds []string
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	// DataFolder holds the files of a core replica.
	DataFolder string
	// Target is the server beside a sidecar.
	Target HostTarget
	// TolerateHosts is how many hosts with a disk may be lost at once.
	TolerateHosts   int
	MemoryMegabytes int
	// HeartbeatMillis is about how often targets check in.
	HeartbeatMillis clock.Millis
	Bounds          HostBounds
}

// HostListeners are IP:port addresses; empty where a role has no such listener.
type HostListeners struct {
	Callers   string
	Readiness string
	Control   string
}

// HostTarget is the server beside a sidecar.
type HostTarget struct {
	Address string
	Service string
}

// HostBounds are the limits that the deployment sets.
type HostBounds struct {
	// MaxLeaseMillis is the longest lease that a target accepts.
	MaxLeaseMillis clock.Millis `json:"MaxHoldMillis"`
	// DrainMillis is the time after which a draining target gets no new work.
	DrainMillis clock.Millis
	// StopSeconds is the time between SIGTERM and SIGKILL.
	StopSeconds float64
	// RetryRatio and ExtraRetries bound repeats to a service over all hosts: a part of
	// its requests, and a number beside that.
	RetryRatio   float64
	ExtraRetries int
}

// LoadCore reads and checks the settings of a core replica.
func LoadCore(file string) (Host, error) {
	s, k, err := loadHost(file)
	if err != nil {
		return Host{}, err
	}
	k.address("Listen.Control", wire.Address(s.Listen.Control))
	k.dataFolder(s.DataFolder)
	if s.TolerateHosts < 0 {
		k.fail("TolerateHosts", "is negative")
	}
	return s, k.err()
}

// LoadSidecar reads and checks the settings of a sidecar.
func LoadSidecar(file string) (Host, error) {
	s, k, err := loadHost(file)
	if err != nil {
		return Host{}, err
	}
	k.address("Listen.Control", wire.Address(s.Listen.Control))
	k.address("Listen.Callers", wire.Address(s.Listen.Callers))
	k.address("Listen.Readiness", wire.Address(s.Listen.Readiness))
	k.address("Target.Address", wire.Address(s.Target.Address))
	if s.Target.Service == "" {
		k.fail("Target.Service", "is missing")
	}
	return s, k.err()
}

func loadHost(file string) (Host, *checker, error) {
	var s Host
	k, err := decode(file, &s)
	if err != nil {
		return Host{}, nil, err
	}
	k.name("Name", s.Name)
	k.name("FailureDomain", s.FailureDomain)
	if _, err := netip.ParseAddr(s.IP); err != nil {
		k.fail("IP", "is not an IP address")
	}
	if s.PeerPort <= 0 || s.PeerPort > 65535 {
		k.fail("PeerPort", "is not a port")
	}
	if len(s.Seeds) == 0 {
		k.fail("Seeds", "is empty")
	}
	for _, a := range s.Seeds {
		k.address("Seeds", wire.Address(a))
	}
	return s, k, nil
}
