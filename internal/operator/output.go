package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// columnGap separates the columns of a table.
const columnGap = 2

// print writes v as JSON, or calls writeText, depending on s.Output.
func (s *Session) print(v any, writeText func(*table)) error {
	if s.Output == JSON {
		e := json.NewEncoder(s.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := &table{out: s.Out}
	writeText(t)
	return t.err
}

// table writes lines and aligned columns to out, and stops at the first error.
type table struct {
	out io.Writer
	err error
}

func (t *table) line(format string, args ...any) {
	t.raw(fmt.Appendf(nil, format+"\n", args...))
}

func (t *table) raw(b []byte) {
	if t.err == nil {
		_, t.err = t.out.Write(b)
	}
}

// alignedRows writes a heading and cells in aligned columns. It writes nothing if
// cells is empty.
func (t *table) alignedRows(heading []string, cells [][]string) {
	if len(cells) == 0 || t.err != nil {
		return
	}
	w := tabwriter.NewWriter(t.out, 0, 0, columnGap, ' ', 0)
	for _, r := range append([][]string{heading}, cells...) {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	t.err = w.Flush()
}

func (t *table) status(r wire.StatusResponse) {
	t.line("group %s, configuration revision %d, table version %d", r.Group, r.Revision, r.Version)
	t.line("")
	t.replicas(r.Replicas)
	t.line("")
	t.nodes(r)
	t.line("")
	t.services(r.Services)
	for _, w := range warnings(r) {
		t.line("warning: %s", w)
	}
}

// warnings returns the conditions that need action by an operator.
func warnings(r wire.StatusResponse) []string {
	var out []string
	if !r.CanLoseOne {
		out = append(out, "the control group would lose its majority with one more replica")
	}
	for _, s := range r.Services {
		if s.Members == 0 {
			out = append(out, fmt.Sprintf("service %s has no target", s.Service))
		}
		if s.Unowned > 0 {
			out = append(out, fmt.Sprintf("%d partitions of service %s have no owner", s.Unowned, s.Service))
		}
	}
	for _, e := range evacuationsOf(r) {
		out = append(out, fmt.Sprintf("failure domain %s is evacuated: %d nodes, %d partitions", e.Domain, e.Nodes, e.Owned))
	}
	for _, n := range r.Nodes {
		if n.RevisionInForce < r.Revision {
			out = append(out, fmt.Sprintf("node %s is at configuration revision %d", n.Node, n.RevisionInForce))
		}
	}
	return out
}

func (t *table) replicas(replicas []wire.ReplicaStatus) {
	var rows [][]string
	for _, r := range replicas {
		rows = append(rows, []string{
			string(r.Name), string(r.Address), role(r), yesNo(r.CaughtUp), formatInt(r.MatchIndex), formatElapsed(r.LastContactMillis),
		})
	}
	t.alignedRows([]string{"REPLICA", "ADDRESS", "ROLE", "CAUGHT UP", "INDEX", "LAST HEARD"}, rows)
}

func role(r wire.ReplicaStatus) string {
	switch {
	case r.Leader:
		return "leader"
	case r.Voter:
		return "voter"
	}
	return "learner"
}

func (t *table) nodes(r wire.StatusResponse) {
	var rows [][]string
	for _, n := range r.Nodes {
		service := "-"
		if n.Member != nil {
			service = string(n.Member.Service)
		}
		rows = append(rows, []string{
			string(n.Node), string(n.Address), string(n.FailureDomain), service, formatInt(n.Owned),
			formatInt(n.RevisionInForce), formatElapsed(n.LastHeartbeatMillis), yesNo(n.Draining),
		})
	}
	t.alignedRows([]string{"NODE", "ADDRESS", "FAILURE DOMAIN", "SERVICE", "OWNED", "REVISION", "LAST HEARD", "DRAINING"}, rows)
}

// evacuation is an evacuated failure domain as printed. Owned counts the partitions that its
// nodes still own.
type evacuation struct {
	Domain       wire.FailureDomain
	Nodes, Owned int
}

func evacuationsOf(r wire.StatusResponse) []evacuation {
	out := []evacuation{}
	for _, d := range r.EvacuatedDomains {
		e := evacuation{Domain: d}
		for _, n := range r.Nodes {
			if n.FailureDomain == d {
				e.Nodes++
				e.Owned += n.Owned
			}
		}
		out = append(out, e)
	}
	return out
}

func (t *table) evacuations(list []evacuation) {
	if len(list) == 0 {
		t.line("no failure domain is evacuated")
		return
	}
	var rows [][]string
	for _, e := range list {
		rows = append(rows, []string{string(e.Domain), formatInt(e.Nodes), formatInt(e.Owned)})
	}
	t.alignedRows([]string{"FAILURE DOMAIN", "NODES", "OWNED"}, rows)
}

func (t *table) services(services []wire.ServiceStatus) {
	var rows [][]string
	for _, s := range services {
		rows = append(rows, []string{string(s.Service), formatInt(s.Members), formatInt(s.Partitions), formatInt(s.Unowned), formatInt(s.Moving)})
	}
	t.alignedRows([]string{"SERVICE", "TARGETS", "PARTITIONS", "UNOWNED", "MOVING"}, rows)
}

func (t *table) replicaMembers(members []wire.ReplicaMember) {
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{string(m.Name), string(m.Address), string(m.Identity)})
	}
	t.alignedRows([]string{"REPLICA", "ADDRESS", "IDENTITY"}, rows)
}

func (t *table) owner(r wire.OwnerResponse) {
	p := r.Partition
	rows := [][]string{{"partition", string(p.Partition)}}
	if p.Owner == "" {
		rows = append(rows, []string{"owner", "none"})
	} else {
		rows = append(rows, []string{"owner", string(p.Owner)}, []string{"epoch", formatInt(p.FencingToken)})
	}
	if m := r.Member; m != nil {
		rows = append(rows, []string{"node", string(m.Node)}, []string{"address", string(m.Address)},
			[]string{"failure domain", string(m.FailureDomain)})
	}
	if p.MovingTo != "" {
		rows = append(rows, []string{"moving to", string(p.MovingTo)})
	}
	t.alignedRows([]string{"service", string(p.Service)}, rows)
}

func (t *table) audit(r wire.AuditResponse) {
	var rows [][]string
	for _, a := range r.Records {
		rows = append(rows, []string{formatInt(a.Index), formatTime(a.At), a.Who, a.What, orDash(a.From), orDash(a.To)})
	}
	t.alignedRows([]string{"INDEX", "TIME", "WHO", "WHAT", "FROM", "TO"}, rows)
}

func (t *table) quarantine(r wire.QuarantineResponse) {
	if len(r.Suspects) == 0 {
		t.line("no suspects and no quarantined requests")
		return
	}
	var rows [][]string
	for _, s := range r.Suspects {
		state := "suspect"
		if s.Quarantined {
			state = "quarantined"
		}
		rows = append(rows, []string{string(s.Fingerprint), state, string(s.Service), string(s.Route), s.Path, formatTime(s.Since)})
	}
	t.alignedRows([]string{"FINGERPRINT", "STATE", "SERVICE", "ROUTE", "PATH", "SINCE"}, rows)
}

func formatInt[N ~int](n N) string { return fmt.Sprint(int(n)) }

// formatElapsed formats the time since an event; negative means that the event
// never happened.
func formatElapsed(m wire.Millis) string {
	if m < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms", m)
}

func formatTime(at wire.UnixMillis) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
