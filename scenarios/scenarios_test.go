package scenarios_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// clusterKey is the key of a script's cluster in the values of its environment.
type clusterKey struct{}

// Guards the guarantees of docs/design.md under the failures that the scripts
// cause. docs/proofs.md lists the scripts for each guarantee.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":    startCluster,
			"ask":        startCompletion,
			"order":      startOrder,
			"mint":       mintKey,
			"received":   awaitReceived,
			"answer":     printAnswer,
			"cancel":     cancelCall,
			"crash":      kill,
			"freeze":     freeze,
			"thaw":       thaw,
			"shutdown":   stop,
			"stopped":    awaitStopped,
			"notready":   awaitNotReady,
			"restart":    restart,
			"link":       changeLink,
			"idle":       awaitIdle,
			"datacentre": setDataCentre,
			"instance":   setInstance,
			"platform":   setConfigurationService,
			"publish":    publishVersion,
			"inforce":    awaitInForce,
			"executions": checkExecutions,
			"refuses":    checkNoNewWork,
			"cold":       checkCold,
			"executed":   storeExecuted,
			"unchanged":  checkUnchanged,
			"askmany":    startCompletions,
			"endmany":    awaitCompletions,
			"request":    sendRequest,
		},
		Setup: func(e *testscript.Env) error {
			e.Values[clusterKey{}] = new(cluster)
			e.Defer(func() {
				if c, ok := e.Values[clusterKey{}].(*cluster); ok && c.directory != "" {
					saveLogs(t, c)
					c.close()
				}
			})
			return nil
		},
	})
}

// saveLogs copies the files of the cluster, among them the process logs, to a
// subfolder of the folder that SCENARIO_LOGS names.
func saveLogs(t *testing.T, c *cluster) {
	target := os.Getenv("SCENARIO_LOGS")
	if target == "" {
		return
	}
	target = filepath.Join(target, filepath.Base(filepath.Dir(c.directory))+"-"+strings.ReplaceAll(c.ip, ".", "-"))
	if err := os.CopyFS(target, os.DirFS(c.directory)); err != nil {
		t.Logf("save logs: %v", err)
	}
}
