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
	// ErrInvalid means that the settings are rejected. The message lists all
	// errors, one per line, each as file:line: field: message.
	ErrInvalid = merry.Sentinel("invalid settings")
)

// LoadControl reads and checks the settings of a control replica. A relative
// DataFolder is resolved against the folder of the settings file.
func LoadControl(file string) (Control, error) {
	var s Control
	c, err := decode(file, &s)
	if err != nil {
		return Control{}, err
	}
	c.checkName("Group", string(s.Group))
	c.checkName("Name", string(s.Name))
	c.checkName("FailureDomain", string(s.FailureDomain))
	c.checkListeners(map[string]wire.Address{"Listen": s.Listen, "MetricsListen": s.MetricsListen})
	c.checkDataFolder(s.DataFolder)
	c.checkReplicas(s)
	if !filepath.IsAbs(s.DataFolder) {
		s.DataFolder = filepath.Join(filepath.Dir(file), s.DataFolder)
	}
	return s, c.err()
}

// LoadNode reads and checks the settings of a node.
func LoadNode(file string) (Node, error) {
	var s Node
	c, err := decode(file, &s)
	if err != nil {
		return Node{}, err
	}
	c.checkName("Group", string(s.Group))
	c.checkName("Name", string(s.Name))
	c.checkName("FailureDomain", string(s.FailureDomain))
	c.checkListeners(map[string]wire.Address{
		"CallerListen": s.CallerListen, "PeerListen": s.PeerListen,
		"TargetListen": s.TargetListen, "MetricsListen": s.MetricsListen,
	})
	c.checkAdvertised("Advertise", s.Advertise)
	c.checkControl(s.Control)
	return s, c.err()
}

// decode decodes the file into the struct that target points to. The checker has the
// decoding errors; the error is ErrRead, or ErrInvalid if the file cannot be parsed.
func decode(file string, target any) (*checker, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Wrap(ErrRead, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	c := &checker{}
	c.lines, c.problems = jsonc.Decode(file, data, target)
	if c.lines.ParseFailed() {
		return nil, c.err()
	}
	return c, nil
}

// checker collects the problems of one file.
type checker struct {
	lines    jsonc.FieldLines
	problems jsonc.Problems
}

func (c *checker) err() error {
	err := c.problems.Err()
	if err == nil {
		return nil
	}
	return merry.Wrap(ErrInvalid, merry.WithMessage(err.Error()))
}

// fail records a problem, unless the field already has one, such as a decoding error.
func (c *checker) fail(field, format string, args ...any) {
	reported := slices.ContainsFunc(c.problems, func(p *jsonc.Problem) bool { return p.Field == field })
	if !reported {
		c.problems = append(c.problems, c.lines.Problem(field, format, args...))
	}
}

func (c *checker) checkName(field, name string) {
	switch {
	case name == "":
		c.fail(field, "is missing")
	case !config.ValidName(name):
		c.fail(field, "%q is not a name: up to 63 lower-case letters, digits and inner hyphens", name)
	}
}

// checkAddress checks that a is IP:port. Host names are rejected because resolving
// them would make a process depend on an external service.
func (c *checker) checkAddress(field string, a wire.Address) (netip.AddrPort, bool) {
	if a == "" {
		c.fail(field, "is missing")
		return netip.AddrPort{}, false
	}
	p, err := netip.ParseAddrPort(string(a))
	if err != nil {
		c.fail(field, "%q is not IP:port", a)
		return netip.AddrPort{}, false
	}
	if p.Port() == 0 {
		c.fail(field, "%q has no port", a)
		return netip.AddrPort{}, false
	}
	return p, true
}

// checkAdvertised checks an address that other processes connect to.
func (c *checker) checkAdvertised(field string, a wire.Address) {
	p, ok := c.checkAddress(field, a)
	if ok && p.Addr().IsUnspecified() {
		c.fail(field, "%q names no host: others could not connect to it", a)
	}
}

// checkListeners checks that the addresses that one process listens on are valid and
// distinct. The keys are the fields.
func (c *checker) checkListeners(addresses map[string]wire.Address) {
	fieldByAddress := make(map[netip.AddrPort]string)
	for _, field := range sortedKeys(addresses) {
		p, ok := c.checkAddress(field, addresses[field])
		if !ok {
			continue
		}
		if other, ok := fieldByAddress[p]; ok {
			c.fail(field, "%s is already the address of %s", p, other)
			continue
		}
		fieldByAddress[p] = field
	}
}

func (c *checker) checkDataFolder(folder string) {
	if folder == "" {
		c.fail("DataFolder", "is missing")
	}
}

func (c *checker) checkReplicas(s Control) {
	if len(s.Replicas) == 0 {
		c.fail("Replicas", "must name at least one replica")
		return
	}
	nameByAddress := make(map[wire.Address]wire.ReplicaID)
	for _, name := range sortedKeys(s.Replicas) {
		field := "Replicas." + string(name)
		c.checkName(field, string(name))
		c.checkAdvertised(field, s.Replicas[name])
		if other, ok := nameByAddress[s.Replicas[name]]; ok {
			c.fail(field, "%s is already the address of %s", s.Replicas[name], other)
		}
		nameByAddress[s.Replicas[name]] = name
	}
	if _, ok := s.Replicas[s.Name]; !ok && s.Name != "" {
		c.fail("Replicas", "does not name this replica, %q", s.Name)
	}
}

func (c *checker) checkControl(addresses []wire.Address) {
	if len(addresses) == 0 {
		c.fail("Control", "must give the address of at least one control replica")
	}
	for i, a := range addresses {
		c.checkAdvertised(elementPath("Control", i), a)
		if slices.Contains(addresses[:i], a) {
			c.fail(elementPath("Control", i), "%s is given twice", a)
		}
	}
}
