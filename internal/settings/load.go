package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/jsonc"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Errors of this package.
var (
	// ErrRead means that the file could not be read.
	ErrRead = merry.Sentinel("cannot read the settings")
	// ErrInvalid means that the settings are refused. The message lists all
	// errors, one a line, each as file:line: field: message.
	ErrInvalid = merry.Sentinel("invalid settings")
)

// LoadControl reads and checks the settings of a control replica. A relative
// DataFolder is taken from the folder of the settings file.
func LoadControl(file string) (Control, error) {
	var s Control
	k, err := decode(file, &s)
	if err != nil {
		return Control{}, err
	}
	k.name("Group", string(s.Group))
	k.name("Name", string(s.Name))
	k.name("FailureDomain", string(s.FailureDomain))
	k.listeners(map[string]wire.Address{"Listen": s.Listen, "MetricsListen": s.MetricsListen})
	k.dataFolder(s.DataFolder)
	k.replicas(s)
	if !filepath.IsAbs(s.DataFolder) {
		s.DataFolder = filepath.Join(filepath.Dir(file), s.DataFolder)
	}
	return s, k.err()
}

// LoadNode reads and checks the settings of a node.
func LoadNode(file string) (Node, error) {
	var s Node
	k, err := decode(file, &s)
	if err != nil {
		return Node{}, err
	}
	k.name("Group", string(s.Group))
	k.name("Name", string(s.Name))
	k.name("FailureDomain", string(s.FailureDomain))
	k.listeners(map[string]wire.Address{
		"CallerListen": s.CallerListen, "PeerListen": s.PeerListen,
		"TargetListen": s.TargetListen, "MetricsListen": s.MetricsListen,
	})
	k.reachable("Advertise", s.Advertise)
	k.control(s.Control)
	return s, k.err()
}

func decode(file string, into any) (*checker, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Wrap(ErrRead, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	k := &checker{}
	k.lines, k.problems = jsonc.Decode(file, data, into)
	if k.lines.ParseFailed() {
		return nil, k.err()
	}
	return k, nil
}

// checker collects what is wrong with one file.
type checker struct {
	lines    jsonc.FieldLines
	problems jsonc.Problems
}

func (k *checker) err() error {
	err := k.problems.Err()
	if err == nil {
		return nil
	}
	return merry.Wrap(ErrInvalid, merry.WithMessage(err.Error()))
}

// fail reports a problem unless the field's value could not even be decoded.
func (k *checker) fail(field, format string, args ...any) {
	reported := slices.ContainsFunc(k.problems, func(p *jsonc.Problem) bool { return p.Field == field })
	if !reported {
		k.problems = append(k.problems, k.lines.Problem(field, format, args...))
	}
}

func (k *checker) name(field, s string) {
	switch {
	case s == "":
		k.fail(field, "is missing")
	case !config.ValidName(s):
		k.fail(field, "%q is not a name: up to 63 lower-case letters, digits and inner hyphens", s)
	}
}

// address checks that a is IP:port. Names are refused: resolving them would make
// a process depend on a service outside this project.
func (k *checker) address(field string, a wire.Address) (netip.AddrPort, bool) {
	if a == "" {
		k.fail(field, "is missing")
		return netip.AddrPort{}, false
	}
	p, err := netip.ParseAddrPort(string(a))
	if err != nil {
		k.fail(field, "%q is not IP:port", a)
		return netip.AddrPort{}, false
	}
	if p.Port() == 0 {
		k.fail(field, "%q has no port", a)
		return netip.AddrPort{}, false
	}
	return p, true
}

// reachable checks an address that others connect to.
func (k *checker) reachable(field string, a wire.Address) {
	p, ok := k.address(field, a)
	if ok && p.Addr().IsUnspecified() {
		k.fail(field, "%q names no host: others could not connect to it", a)
	}
}

// listeners checks the addresses that one process listens on.
func (k *checker) listeners(all map[string]wire.Address) {
	used := make(map[netip.AddrPort]string)
	for _, field := range sortedKeys(all) {
		p, ok := k.address(field, all[field])
		if !ok {
			continue
		}
		if other, twice := used[p]; twice {
			k.fail(field, "%s is already the address of %s", p, other)
			continue
		}
		used[p] = field
	}
}

func (k *checker) dataFolder(folder string) {
	if folder == "" {
		k.fail("DataFolder", "is missing")
	}
}

func (k *checker) replicas(s Control) {
	if len(s.Replicas) == 0 {
		k.fail("Replicas", "must name at least one replica")
		return
	}
	used := make(map[wire.Address]wire.ReplicaID)
	for _, n := range sortedKeys(s.Replicas) {
		field := "Replicas." + string(n)
		k.name(field, string(n))
		k.reachable(field, s.Replicas[n])
		if other, twice := used[s.Replicas[n]]; twice {
			k.fail(field, "%s is already the address of %s", s.Replicas[n], other)
		}
		used[s.Replicas[n]] = n
	}
	if _, ok := s.Replicas[s.Name]; !ok && s.Name != "" {
		k.fail("Replicas", "does not name this replica, %q", s.Name)
	}
}

func (k *checker) control(addresses []wire.Address) {
	if len(addresses) == 0 {
		k.fail("Control", "must give the address of at least one control replica")
	}
	for i, a := range addresses {
		k.reachable(element("Control", i), a)
		if slices.Contains(addresses[:i], a) {
			k.fail(element("Control", i), "%s is given twice", a)
		}
	}
}
