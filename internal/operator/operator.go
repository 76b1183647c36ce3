// Package operator implements the operator commands, which call the control group
// and print its responses.
//
// A command can start at any control replica: replicas other than the leader
// redirect it to the leader, and unresponsive replicas are skipped. A command that
// changes state is sent again after a lost response. This is safe because each is
// idempotent: apply carries a request id, and the others set a state.
//
// # Usage
//
//	s := &operator.Session{Group: "tz", Operator: "amina", Control: addresses, Out: os.Stdout, Err: os.Stderr}
//	err := s.Status(ctx)
//	s.Report(err)
//	os.Exit(operator.ExitCode(err))
package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package; each has its own exit code.
var (
	// ErrRejected means that the command had no effect and would be rejected again.
	ErrRejected = merry.Sentinel("refused")
	// ErrUsage means that the command line is wrong.
	ErrUsage = merry.Sentinel("usage")
	// ErrUnavailable means that no control replica could respond in time; the
	// command had no effect.
	ErrUnavailable = merry.Sentinel("control group unavailable")
	// ErrUnknown means that the command may or may not have taken effect.
	ErrUnknown = merry.Sentinel("outcome unknown")
	// ErrIncomplete means that the change was accepted, but had not taken effect
	// everywhere when the wait ended.
	ErrIncomplete = merry.Sentinel("accepted, not complete everywhere yet")
)

// Exit codes of the operator commands.
const (
	ExitOK          = 0
	ExitRejected    = 1
	ExitUsage       = 2
	ExitUnavailable = 3
	ExitUnknown     = 4
)

// DefaultTimeout is several times the 1.8 s that an election and the expiry of the
// previous leader's leases take together.
const DefaultTimeout clock.Millis = 10_000

// Session holds the control group that commands call and the writers for their
// output.
type Session struct {
	Group wire.GroupID
	// Operator is recorded in the audit trail.
	Operator wire.OperatorName
	// Control are the addresses of control replicas, tried in order.
	Control []wire.Address
	// Timeout bounds each call to the control group, excluding the wait for a change
	// to take effect; 0 means DefaultTimeout.
	Timeout clock.Millis
	// Output is Text (tables, the default if empty) or JSON.
	Output Output
	Out    io.Writer
	Err    io.Writer
}

// Output is an output format.
type Output string

// Output formats.
const (
	Text Output = "text"
	JSON Output = "json"
)

// ExitCode maps the error of a command to the exit code of the program.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrRejected):
		return ExitRejected
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	default:
		return ExitUnavailable
	}
}

// Report writes the error of a command, if any, to s.Err.
func (s *Session) Report(err error) {
	if err == nil {
		return
	}
	if s.Output != JSON {
		_, _ = fmt.Fprintln(s.Err, "gentiansail:", err.Error())
		return
	}
	_ = json.NewEncoder(s.Err).Encode(struct {
		Error    string
		ExitCode int
	}{err.Error(), ExitCode(err)})
}

// Configure takes the addresses of the control replicas, separated by commas, and
// checks what every command needs. The error is ErrUsage.
func (s *Session) Configure(control string) error {
	if s.Output != Text && s.Output != JSON {
		return usage("--output %q is neither text nor json", s.Output)
	}
	if s.Group == "" {
		return usage("no control group given: use --group or GENTIANSAIL_GROUP")
	}
	var err error
	s.Control, err = ParseAddresses(control)
	return err
}

// ParseAddresses splits a list of IP:port at commas. The error is ErrUsage.
func ParseAddresses(list string) ([]wire.Address, error) {
	var out []wire.Address
	for part := range strings.SplitSeq(list, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			return nil, usage("%q is not IP:port", part)
		}
		out = append(out, wire.Address(part))
	}
	if len(out) == 0 {
		return nil, usage("no control replica given: use --control or GENTIANSAIL_CONTROL")
	}
	return out, nil
}

func usage(format string, args ...any) error {
	return merry.Wrap(ErrUsage, merry.AppendMessagef(format, args...))
}
