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

// kill: crash PROCESS kills the process and waits for its exit.
func kill(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args)
	ts.Check(p.signal(syscall.SIGKILL))
	ts.Check(p.awaitExit())
}

// freeze: freeze PROCESS stops the process with SIGSTOP.
func freeze(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).signal(syscall.SIGSTOP))
}

// thaw: thaw PROCESS resumes a frozen process.
func thaw(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).signal(syscall.SIGCONT))
}

// stop: shutdown PROCESS starts a graceful shutdown.
func stop(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processOf(ts, args).signal(syscall.SIGTERM))
}

// awaitNotReady: notready PROCESS waits until the readiness probe of the process
// fails, after which it accepts no new work.
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

// restart: restart PROCESS starts an exited process again and waits until it is
// ready.
func restart(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args)
	ts.Check(p.start())
	ts.Check(p.awaitProbe())
}

// changeLink: link NAME cut|silence|refuse|allow disturbs connections. INSTANCE as
// NAME means those to the sidecar, and upstream-INSTANCE those to the upstream:
// cut closes them, silence keeps them open without data, refuse and allow apply
// to new connections.
func changeLink(ts *testscript.TestScript, _ bool, args []string) {
	r := clusterOf(ts).relays[argument(ts, args, 0)]
	if r == nil {
		ts.Fatalf("no link %q", args[0])
	}
	switch argument(ts, args, 1) {
	case "cut":
		ts.Logf("cut %d connections", r.Cut())
	case "silence":
		ts.Logf("silenced %d connections", r.Silence())
	case "refuse":
		r.SetRefusing(true)
	case "allow":
		r.SetRefusing(false)
	default:
		ts.Fatalf("unknown link change %q", args[1])
	}
}
