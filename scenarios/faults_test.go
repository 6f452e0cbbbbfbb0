package scenarios_test

import (
	"net/http"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

func processOf(ts *testscript.TestScript, args []string) *process {
	p := clusterOf(ts).processes[argument(ts, args, 0)]
	if p == nil {
		ts.Fatalf("no process %q", args[0])
	}
	return p
}

func kill(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args)
	ts.Check(p.signal(syscall.SIGKILL))
	ts.Check(p.awaitExit())
}

func freeze(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).signal(syscall.SIGSTOP))
}

func thaw(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).signal(syscall.SIGCONT))
}

// stop: shutdown PROCESS begins a graceful shutdown.
func stop(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).signal(syscall.SIGTERM))
}

// awaitNotReady: notready PROCESS waits until the process accepts no new work.
func awaitNotReady(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args)
	ts.Check(poll(noNewWorkTimeout, p.name+" not ready", func() bool {
		response, err := stateClient.Get(p.probe)
		if err != nil {
			return true
		}
		_ = response.Body.Close()
		return response.StatusCode != http.StatusOK
	}))
}

// awaitStopped: stopped PROCESS waits until the process has exited.
func awaitStopped(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).awaitExit())
}

// restart: restart PROCESS starts it again and waits until it serves.
func restart(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args)
	ts.Check(p.start())
	ts.Check(p.awaitProbe())
}

// changeLink: link NAME cut|silence|refuse|allow, where NAME is an instance for
// its sidecar or upstream-NAME for its upstream.
func changeLink(ts *testscript.TestScript, _ bool, args []string) {
	r := clusterOf(ts).relays[argument(ts, args, 0)]
	if r == nil {
		ts.Fatalf("no link %q", args[0])
	}
	switch argument(ts, args, 1) {
	case "cut":
		ts.Logf("%d connections cut", r.Cut())
	case "silence":
		ts.Logf("%d connections silenced", r.Silence())
	case "refuse":
		r.SetRefusing(true)
	case "allow":
		r.SetRefusing(false)
	default:
		ts.Fatalf("unknown change %q", args[1])
	}
}
