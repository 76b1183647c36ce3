package settings

import (
	"net/netip"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Host holds the settings of a mesh process: a core replica, or a sidecar, which
// runs next to a target.
type Host struct {
	Name          string
	FailureDomain string
	// IP is the host's address. PeerPort is the port on which mesh processes listen
	// for connections from each other; it is the same on all hosts.
	IP       string
	PeerPort int
	Listen   HostListeners
	// Seeds are IP:port addresses of core hosts, through which a process discovers the
	// other hosts.
	Seeds []string
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	// DataFolder is the path of the folder for the files of a core replica.
	DataFolder string
	// Target is the target that a sidecar forwards requests to.
	Target HostTarget
	// TolerateHosts is the number of hosts with a disk whose simultaneous loss the
	// system tolerates.
	TolerateHosts int
	// MemoryMegabytes is the memory that the deployment allows the process; 0 if it
	// sets no limit.
	MemoryMegabytes int
	// MaxDescriptors is the number of file descriptors that the deployment allows the
	// process; 0 if it sets no limit.
	MaxDescriptors int
	// LinkMegabits is the bandwidth of the host's link in Mbit/s; 0 if it is not known.
	LinkMegabits float64
	// HeartbeatMillis is the approximate interval between heartbeats of a target.
	HeartbeatMillis clock.Millis
	Bounds          HostBounds
	SecondCopies    HostSecondCopies
}

// HostListeners holds the IP:port addresses that a process listens on. An address is
// empty if the process's role has no such listener.
type HostListeners struct {
	Callers   string
	Readiness string
	Control   string
}

// HostTarget is the target of a sidecar.
type HostTarget struct {
	Address string
	Service string
}

// HostBounds holds the limits set by the deployment.
type HostBounds struct {
	// MaxLeaseMillis is the longest lease duration that a target accepts.
	MaxLeaseMillis clock.Millis `json:"MaxHoldMillis"`
	// DrainMillis is the time after which a draining target receives no new requests.
	DrainMillis clock.Millis
	// StopSeconds is the time between SIGTERM and SIGKILL.
	StopSeconds float64
	// RetryRatio and ExtraRetries limit the retries of requests to a service, over all
	// hosts: RetryRatio is a fraction of the service's requests, and ExtraRetries is a
	// number of retries allowed in addition.
	RetryRatio   float64
	ExtraRetries int
	// ColdOverage and ColdSlack limit the requests to a cold target in any second, over
	// all hosts, to ColdOverage times what it tolerates in a second, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// EvacuateMillis is the time from the acknowledgement of an evacuation after which no
	// target of the failure domain gets a request.
	EvacuateMillis clock.Millis
}

// HostSecondCopies limits the second copies of slow requests that may run more than once.
type HostSecondCopies struct {
	// Ratio is the number of second copies as a fraction of the requests to a service; 0
	// means that none are sent.
	Ratio float64
	// Burst is the number of second copies to a service in addition, over all hosts.
	Burst float64
	// CallsPerRun holds, by name of route, how many requests to other services a run makes. A
	// second copy counts as one copy and as many more.
	CallsPerRun map[string]int `json:",omitempty"`
}

// maxSecondCopiesRatio bounds HostSecondCopies.Ratio: a copy is sent after a delay that a
// fraction of Ratio of the requests exceeds.
const maxSecondCopiesRatio = 0.5

// MetricsPort is the port for metrics and questions, the same on all hosts of a mesh.
func (h Host) MetricsPort() int { return h.PeerPort + 1 }

func (c *checker) checkSecondCopies(s HostSecondCopies) {
	if !(s.Ratio >= 0 && s.Ratio <= maxSecondCopiesRatio) {
		c.fail("SecondCopies.Ratio", "is not between 0 and 0.5")
	}
	if !(s.Burst >= 0) {
		c.fail("SecondCopies.Burst", "is negative")
	}
	for _, calls := range s.CallsPerRun {
		if calls < 0 {
			c.fail("SecondCopies.CallsPerRun", "contains a negative number")
			return
		}
	}
}

// LoadCore reads and checks the settings of a core replica.
func LoadCore(file string) (Host, error) {
	s, c, err := loadHost(file)
	if err != nil {
		return Host{}, err
	}
	c.checkAddress("Listen.Control", wire.Address(s.Listen.Control))
	c.checkDataFolder(s.DataFolder)
	if s.TolerateHosts < 0 {
		c.fail("TolerateHosts", "is negative")
	}
	return s, c.err()
}

// LoadSidecar reads and checks the settings of a sidecar.
func LoadSidecar(file string) (Host, error) {
	s, c, err := loadHost(file)
	if err != nil {
		return Host{}, err
	}
	c.checkAddress("Listen.Control", wire.Address(s.Listen.Control))
	c.checkAddress("Listen.Callers", wire.Address(s.Listen.Callers))
	c.checkAddress("Listen.Readiness", wire.Address(s.Listen.Readiness))
	c.checkAddress("Target.Address", wire.Address(s.Target.Address))
	if s.Target.Service == "" {
		c.fail("Target.Service", "is missing")
	}
	c.checkSecondCopies(s.SecondCopies)
	return s, c.err()
}

func loadHost(file string) (Host, *checker, error) {
	var s Host
	c, err := decode(file, &s)
	if err != nil {
		return Host{}, nil, err
	}
	c.checkName("Name", s.Name)
	c.checkName("FailureDomain", s.FailureDomain)
	if _, err := netip.ParseAddr(s.IP); err != nil {
		c.fail("IP", "is not an IP address")
	}
	if s.PeerPort <= 0 || s.PeerPort > 65535 {
		c.fail("PeerPort", "is not a port")
	}
	if len(s.Seeds) == 0 {
		c.fail("Seeds", "is empty")
	}
	for _, a := range s.Seeds {
		c.checkAddress("Seeds", wire.Address(a))
	}
	return s, c, nil
}
