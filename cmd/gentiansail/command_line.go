package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/integrii/flaggy"

	"github.com/gentiansail/gentiansail/internal/bench/policies"
	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/platform"
)

// Environment variables that stand in for flags.
const (
	controlVariable  = "GENTIANSAIL_CONTROL"
	groupVariable    = "GENTIANSAIL_GROUP"
	operatorVariable = "GENTIANSAIL_OPERATOR"
)

const (
	// defaultWait is five times the 6 s within which an accepted configuration is
	// in effect on every node that can be reached.
	defaultWait       = 30 * time.Second
	defaultAuditLimit = 100
)

const helpAfter = `
  Addresses are IP:port. --control takes any control replicas; the leader is found.

  Exit codes of the operator commands:
    0  done
    1  refused: no effect, and the same command would be refused again
    2  usage: the command line is wrong
    3  unavailable: no control replica could respond, or a wait ended early
    4  outcome unknown: may or may not have taken effect; apply prints how to
       send the request again, the others can simply be repeated

  A first session:
    export GENTIANSAIL_GROUP=tz GENTIANSAIL_CONTROL=10.0.1.5:7101,10.0.2.5:7101,10.0.3.5:7101
    gentiansail bootstrap
    gentiansail validate examples/donation-mesh/config
    gentiansail apply examples/donation-mesh/config --wait
    gentiansail status`

// command is one subcommand and what it runs.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// commandLine holds the values of all flags.
type commandLine struct {
	parser   *flaggy.Parser
	commands []command

	control, group, operator, output string
	timeout                          time.Duration

	settings          string
	folder, requestID string
	base              int
	wait              bool
	waitTimeout       time.Duration
	node              string
	service, key      string
	after, limit      int
	fingerprint       string
	bench             benchFlags
}

func newCommandLine() *commandLine {
	c := &commandLine{
		control:  os.Getenv(controlVariable),
		group:    os.Getenv(groupVariable),
		operator: firstOf(os.Getenv(operatorVariable), os.Getenv("USER"), os.Getenv("LOGNAME"), "operator"),
		output:   "text", timeout: operator.DefaultTimeout.Duration(),
		base: int(operator.CurrentRevision), waitTimeout: defaultWait, limit: defaultAuditLimit,
		bench:  benchFlags{policies: policies.Options{Seed: 1}},
		parser: flaggy.NewParser("gentiansail"),
	}
	p := c.parser
	p.Description = "router for servers that own keys exclusively"
	p.AdditionalHelpAppend = helpAfter
	p.ShowVersionWithVersionFlag = false
	p.String(&c.control, "", "control", "control replicas, IP:port separated by commas; or "+controlVariable)
	p.String(&c.group, "", "group", "control group; or "+groupVariable)
	p.String(&c.operator, "", "operator", "name for the audit trail; or "+operatorVariable)
	p.String(&c.output, "", "output", "text or json")
	p.Duration(&c.timeout, "", "timeout", "time to reach the control group")
	c.addDaemons()
	c.addConfiguration()
	c.addHosts()
	c.addQueries()
	return c
}

func (c *commandLine) add(name, description string, run func(context.Context) error) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c.parser.AttachSubcommand(s, 1)
	c.commands = append(c.commands, command{sub: s, run: run})
	return s
}

func (c *commandLine) addDaemons() {
	s := c.add("control", "run a control replica; SIGTERM stops it gracefully", func(ctx context.Context) error {
		return runControl(ctx, c.settings)
	})
	s.String(&c.settings, "", "settings", "settings file, JSON with comments")
	s = c.add("node", "run a node beside a target; SIGTERM stops it gracefully", func(ctx context.Context) error {
		return runNode(ctx, c.settings)
	})
	s.String(&c.settings, "", "settings", "settings file, JSON with comments")
	c.add("core", "run a core replica of the mesh on the users' platform", func(ctx context.Context) error {
		return platform.RunCore(ctx, os.Stdout)
	})
	c.add("sidecar", "run a sidecar of the mesh on the users' platform", func(ctx context.Context) error {
		return platform.RunSidecar(ctx, os.Stdout)
	})
	c.addBench()
	c.add("version", "print the version", func(context.Context) error {
		_, err := fmt.Println(version())
		return err
	})
}

func (c *commandLine) addConfiguration() {
	c.add("bootstrap", "found a control group of the replicas given by --control, once", c.with((*operator.Session).Bootstrap))
	s := c.add("validate", "check a configuration folder, without any control replica", func(context.Context) error {
		return c.session().Validate(c.folder)
	})
	s.AddPositionalValue(&c.folder, "FOLDER", 1, true, "folder of *.jsonc files")
	s = c.add("apply", "make a configuration folder the accepted configuration, as a whole or not at all", c.with(c.apply))
	s.AddPositionalValue(&c.folder, "FOLDER", 1, true, "folder of *.jsonc files")
	s.Int(&c.base, "", "base", "revision that the change starts from; -1 means the current one")
	s.String(&c.requestID, "", "request-id", "request id of an earlier attempt, to send it again")
	s.Bool(&c.wait, "", "wait", "wait until every node has the revision in force")
	s.Duration(&c.waitTimeout, "", "wait-timeout", "how long to wait")
	c.add("config", "print the accepted configuration", c.with((*operator.Session).Config))
}

func (c *commandLine) addHosts() {
	s := c.add("drain", "move the work of a node away, and give it no new work", c.with(func(o *operator.Session, ctx context.Context) error {
		return o.Drain(ctx, wire.NodeID(c.node), c.waitMillis())
	}))
	s.AddPositionalValue(&c.node, "NODE", 1, true, "name of the node")
	s.Bool(&c.wait, "", "wait", "wait until the node owns no partitions")
	s.Duration(&c.waitTimeout, "", "wait-timeout", "how long to wait")
	s = c.add("undrain", "give a drained node work again", c.with(func(o *operator.Session, ctx context.Context) error {
		return o.Undrain(ctx, wire.NodeID(c.node))
	}))
	s.AddPositionalValue(&c.node, "NODE", 1, true, "name of the node")
}

func (c *commandLine) addQueries() {
	c.add("status", "print replicas, nodes, services, and what needs action", c.with((*operator.Session).Status))
	s := c.add("owner", "print which target owns a key", c.with(func(o *operator.Session, ctx context.Context) error {
		return o.Owner(ctx, wire.ServiceName(c.service), c.key)
	}))
	s.AddPositionalValue(&c.service, "SERVICE", 1, true, "name of the service")
	s.AddPositionalValue(&c.key, "KEY", 2, true, "the key")
	s = c.add("audit", "print changes: who, what, when, from, to", c.with(func(o *operator.Session, ctx context.Context) error {
		return o.Audit(ctx, wire.Version(c.after), c.limit)
	}))
	s.Int(&c.after, "", "after", "only records with a later index")
	s.Int(&c.limit, "", "limit", "the newest records, at most this many")
	c.addQuarantine()
}

func (c *commandLine) addQuarantine() {
	quarantine := flaggy.NewSubcommand("quarantine")
	quarantine.Description = "list or release requests that were in flight when a target died"
	c.parser.AttachSubcommand(quarantine, 1)
	release := flaggy.NewSubcommand("release")
	release.Description = "let a quarantined request run again"
	release.AddPositionalValue(&c.fingerprint, "FINGERPRINT", 1, true, "fingerprint as printed by quarantine list")
	quarantine.AttachSubcommand(release, 1)
	list := flaggy.NewSubcommand("list")
	list.Description = "print suspects and quarantined requests"
	quarantine.AttachSubcommand(list, 1)
	// Without a subcommand of its own, quarantine lists.
	c.commands = append(c.commands,
		command{sub: release, run: c.with(func(o *operator.Session, ctx context.Context) error {
			return o.Release(ctx, wire.Fingerprint(c.fingerprint))
		})},
		command{sub: quarantine, run: c.with((*operator.Session).Quarantine)},
	)
}

func (c *commandLine) apply(o *operator.Session, ctx context.Context) error {
	return o.Apply(ctx, operator.ApplyOptions{
		Folder: c.folder, Base: wire.Revision(c.base), RequestID: wire.RequestID(c.requestID), Wait: c.waitMillis(),
	})
}

func (c *commandLine) waitMillis() clock.Millis {
	if !c.wait {
		return 0
	}
	return clock.FromDuration(c.waitTimeout)
}

// with runs a command that needs the control group.
func (c *commandLine) with(f func(*operator.Session, context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		s := c.session()
		if err := s.Configure(c.control); err != nil {
			return err
		}
		return f(s, ctx)
	}
}

func (c *commandLine) session() *operator.Session {
	return &operator.Session{
		Group: wire.GroupID(c.group), Operator: wire.OperatorName(c.operator),
		Timeout: clock.FromDuration(c.timeout), Output: operator.Output(c.output), Out: os.Stdout, Err: os.Stderr,
	}
}

func firstOf(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

// version is that of the module, with the commit of a build from a checkout.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			out += " " + s.Key + "=" + s.Value
		}
	}
	return out
}
