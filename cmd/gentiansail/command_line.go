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

// Environment variables that set the defaults of flags.
const (
	controlVariable  = "GENTIANSAIL_CONTROL"
	groupVariable    = "GENTIANSAIL_GROUP"
	operatorVariable = "GENTIANSAIL_OPERATOR"
)

const (
	// defaultWait is five times the 6 s within which an accepted configuration takes
	// effect on every reachable node.
	defaultWait       = 30 * time.Second
	defaultAuditLimit = 100
)

const helpFooter = `
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

// commandEntry is a subcommand and the function that runs it.
type commandEntry struct {
	subcommand *flaggy.Subcommand
	run        func(context.Context) error
}

// commandLine holds the parser, the subcommands and the values of all flags.
type commandLine struct {
	parser   *flaggy.Parser
	commands []commandEntry

	control, group, operator, output string
	timeout                          time.Duration

	settingsFile           string
	folder, requestID      string
	baseRevision           int
	wait                   bool
	waitTimeout            time.Duration
	node, domain           string
	end                    bool
	service, key           string
	auditAfter, auditLimit int
	fingerprint            string
	bench                  benchFlags
	explain                explainFlags
}

func newCommandLine() *commandLine {
	c := &commandLine{
		control:  os.Getenv(controlVariable),
		group:    os.Getenv(groupVariable),
		operator: firstNonEmpty(os.Getenv(operatorVariable), os.Getenv("USER"), os.Getenv("LOGNAME"), "operator"),
		output:   "text", timeout: operator.DefaultTimeout.Duration(),
		baseRevision: int(operator.CurrentRevision), waitTimeout: defaultWait, auditLimit: defaultAuditLimit,
		bench:  benchFlags{policies: policies.Options{Seed: 1}},
		parser: flaggy.NewParser("gentiansail"),
	}
	p := c.parser
	p.Description = "router for servers that own keys exclusively"
	p.AdditionalHelpAppend = helpFooter
	p.ShowVersionWithVersionFlag = false
	p.String(&c.control, "", "control", "control replicas, IP:port separated by commas; or "+controlVariable)
	p.String(&c.group, "", "group", "control group; or "+groupVariable)
	p.String(&c.operator, "", "operator", "name for the audit trail; or "+operatorVariable)
	p.String(&c.output, "", "output", "text or json")
	p.Duration(&c.timeout, "", "timeout", "time to reach the control group")
	c.addDaemons()
	c.addConfiguration()
	c.addDrainCommands()
	c.addQueries()
	return c
}

// add registers a top-level subcommand.
func (c *commandLine) add(name, description string, run func(context.Context) error) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c.parser.AttachSubcommand(s, 1)
	c.commands = append(c.commands, commandEntry{subcommand: s, run: run})
	return s
}

func (c *commandLine) addDaemons() {
	s := c.add("control", "run a control replica; SIGTERM stops it gracefully", func(ctx context.Context) error {
		return runControl(ctx, c.settingsFile)
	})
	s.String(&c.settingsFile, "", "settings", "settings file, JSON with comments")
	s = c.add("node", "run a node beside a target; SIGTERM stops it gracefully", func(ctx context.Context) error {
		return runNode(ctx, c.settingsFile)
	})
	s.String(&c.settingsFile, "", "settings", "settings file, JSON with comments")
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
	c.add("bootstrap", "found a control group of the replicas given by --control, once", c.withGroup((*operator.Session).Bootstrap))
	s := c.add("validate", "check a configuration folder, without any control replica", func(context.Context) error {
		return c.session().Validate(c.folder)
	})
	s.AddPositionalValue(&c.folder, "FOLDER", 1, true, "folder of *.jsonc files")
	s = c.add("apply", "make a configuration folder the accepted configuration, as a whole or not at all", c.withGroup(c.apply))
	s.AddPositionalValue(&c.folder, "FOLDER", 1, true, "folder of *.jsonc files")
	s.Int(&c.baseRevision, "", "base", "revision that the change starts from; -1 means the current one")
	s.String(&c.requestID, "", "request-id", "request id of an earlier attempt, to send it again")
	s.Bool(&c.wait, "", "wait", "wait until every node has the revision in force")
	s.Duration(&c.waitTimeout, "", "wait-timeout", "how long to wait")
	c.add("config", "print the accepted configuration", c.withGroup((*operator.Session).Config))
}

func (c *commandLine) addDrainCommands() {
	s := c.add("drain", "move the work of a node away, and give it no new work", c.withGroup(func(o *operator.Session, ctx context.Context) error {
		return o.Drain(ctx, wire.NodeID(c.node), c.waitMillis())
	}))
	s.AddPositionalValue(&c.node, "NODE", 1, true, "name of the node")
	s.Bool(&c.wait, "", "wait", "wait until the node owns no partitions")
	s.Duration(&c.waitTimeout, "", "wait-timeout", "how long to wait")
	s = c.add("undrain", "give a drained node work again", c.withGroup(func(o *operator.Session, ctx context.Context) error {
		return o.Undrain(ctx, wire.NodeID(c.node))
	}))
	s.AddPositionalValue(&c.node, "NODE", 1, true, "name of the node")
	s = c.add("evacuate", "move the work of a failure domain away, and give its nodes no new work", c.withGroup(func(o *operator.Session, ctx context.Context) error {
		if c.end {
			return o.EndEvacuation(ctx, wire.FailureDomain(c.domain))
		}
		return o.Evacuate(ctx, wire.FailureDomain(c.domain), c.waitMillis())
	}))
	s.AddPositionalValue(&c.domain, "DOMAIN", 1, true, "name of the failure domain")
	s.Bool(&c.end, "", "end", "end the evacuation: give the nodes work again")
	s.Bool(&c.wait, "", "wait", "wait until the nodes own no partitions")
	s.Duration(&c.waitTimeout, "", "wait-timeout", "how long to wait")
	c.add("evacuations", "print the evacuated failure domains", c.withGroup((*operator.Session).Evacuations))
}

func (c *commandLine) addQueries() {
	c.add("status", "print replicas, nodes, services, and what needs action", c.withGroup((*operator.Session).Status))
	s := c.add("owner", "print which target owns a key", c.withGroup(func(o *operator.Session, ctx context.Context) error {
		return o.Owner(ctx, wire.ServiceName(c.service), c.key)
	}))
	s.AddPositionalValue(&c.service, "SERVICE", 1, true, "name of the service")
	s.AddPositionalValue(&c.key, "KEY", 2, true, "the key")
	s = c.add("audit", "print changes: who, what, when, from, to", c.withGroup(func(o *operator.Session, ctx context.Context) error {
		return o.Audit(ctx, wire.Version(c.auditAfter), c.auditLimit)
	}))
	s.Int(&c.auditAfter, "", "after", "only records with a later index")
	s.Int(&c.auditLimit, "", "limit", "the newest records, at most this many")
	c.addExplain()
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
	// "quarantine list" has no entry of its own: it also marks quarantine as used,
	// which lists.
	c.commands = append(c.commands,
		commandEntry{subcommand: release, run: c.withGroup(func(o *operator.Session, ctx context.Context) error {
			return o.Release(ctx, wire.Fingerprint(c.fingerprint))
		})},
		commandEntry{subcommand: quarantine, run: c.withGroup((*operator.Session).Quarantine)},
	)
}

func (c *commandLine) apply(o *operator.Session, ctx context.Context) error {
	return o.Apply(ctx, operator.ApplyOptions{
		Folder: c.folder, Base: wire.Revision(c.baseRevision), RequestID: wire.RequestID(c.requestID), Wait: c.waitMillis(),
	})
}

// waitMillis returns the value of --wait-timeout, or 0 without --wait.
func (c *commandLine) waitMillis() clock.Millis {
	if !c.wait {
		return 0
	}
	return clock.FromDuration(c.waitTimeout)
}

// withGroup returns a function that runs f in a session with the control group.
func (c *commandLine) withGroup(f func(*operator.Session, context.Context) error) func(context.Context) error {
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

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

// version returns the module's version, with the commit if the build is from a
// checkout.
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
