package crowd

import (
	"bytes"
	"net/http"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a command that cannot ask a running sidecar, or that sends what it explains.
func TestExplainAsksSidecar(t *testing.T) {
	s := startSystem(t)
	ran := s.ran.Load()
	explain := func(arguments ...string) (output string, code int) {
		command := exec.CommandContext(t.Context(), *program, append([]string{"explain", "--at", address(s.ip, metricsPort), "--host-name", "h.example"}, arguments...)...)
		var out bytes.Buffer
		command.Stdout, command.Stderr = &out, &out
		_ = command.Run() // the exit code tells
		t.Logf("explain %v: exit code %d\n%s", arguments, command.ProcessState.ExitCode(), out.String())
		return out.String(), command.ProcessState.ExitCode()
	}
	output, code := explain("/a/x")
	qt.Check(t, code, qt.Equals, 0)
	qt.Check(t, strings.Contains(output, "get a slot at once"), qt.IsTrue)
	output, code = explain("--json", "/b/x")
	qt.Check(t, code, qt.Equals, 1)
	qt.Check(t, strings.Contains(output, `"Reason": "no-route"`), qt.IsTrue)
	_, err := s.call(s.coreIP, "evacuations.start&of=a", nil, "")
	qt.Assert(t, err, qt.IsNil)
	s.eventually("no request is served", func() error {
		return s.ordinary(s.ip, callerPort, http.MethodGet, "/a/x", http.StatusServiceUnavailable)
	})
	ran = max(ran, s.ran.Load())
	output, code = explain("/a/x")
	qt.Check(t, code, qt.Equals, 1)
	qt.Check(t, strings.Contains(output, "evacuated") && strings.Contains(output, "refused: no-target"), qt.IsTrue)
	qt.Check(t, s.ran.Load(), qt.Equals, ran)
	s.core.Kill()
	output, code = explain("--output", "json", "/a/x")
	qt.Check(t, code, qt.Equals, 1)
	qt.Check(t, strings.Contains(output, "ViewAgeMillis"), qt.IsTrue)
}
