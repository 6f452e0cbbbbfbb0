package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/decisions"
	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/process/router/explanation"
	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/standin/instances"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"flamingohold": main}) }

// fakeProcess serves the state and the decisions of a gateway or sidecar and
// returns its address.
func fakeProcess(t testing.TB, name, hash string, records ...decisions.Record) string {
	ring := decisions.New(name, decisions.DefaultCapacity)
	for _, r := range records {
		ring.Add(r)
	}
	mux := http.NewServeMux()
	mux.Handle(decisions.Path, ring.Handler())
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(load.Report{
			Instance: name, DataCentre: "zg-a", Phase: load.PhaseReady, Running: 3, Limit: 8, StepMillis: 41.5,
			ConfigurationVersion: 7, ConfigurationHash: hash,
		})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newRecord returns a decision at the given Unix time in seconds.
func newRecord(seconds int64, requestID, step, choice string) decisions.Record {
	return decisions.Record{Time: time.Unix(seconds, 0), RequestID: requestID, Step: step, Choice: choice}
}

// fakeRouter explains requests of the host "desk.example" and returns its address.
func fakeRouter(t testing.TB) string {
	at := time.Unix(1, 0).UTC()
	sendBy := at.Add(2671 * time.Millisecond)
	priority, rank, limit := 2, 5, 0.5
	server := httptest.NewServer(explanation.Handler(func(q explanation.Query) explanation.Explanation {
		e := explanation.Explanation{Time: at, DataCentre: "zg-a", TableVersion: 7}
		if q.Host != "desk.example" {
			e.Outcome, e.Reason, e.Status = explanation.Refuse, "no_route", http.StatusNotFound
			return e
		}
		e.Route, e.Kind, e.Service, e.Account, e.Outcome, e.Reason = "draft", "streaming", "lm", q.Account, explanation.Wait, "behind_others"
		e.PolicyEnabled, e.Priority, e.Rank, e.CanWait, e.SendBy = true, &priority, &rank, true, &sendBy
		e.Queue, e.Reservation, e.TieMargin = &explanation.Queue{Ahead: 1, Queued: 3}, &explanation.Reservation{Engines: 3, Headroom: 0.12}, 0.08
		e.Engines = []explanation.Engine{
			{
				ID: "lm-1", DataCentre: "zg-a", Score: 0.9, Parts: explanation.Parts{Load: 0.9}, IsAsked: true, Reported: true, ReportAge: 18.4,
				Running: 20, Waiting: 1, MemoryUsed: 24_000, MemoryTotal: 26_864, EventTime: 23.5,
			},
			{ID: "lm-2", DataCentre: "zg-b", Score: 0.95, Parts: explanation.Parts{Load: 0.83, Remote: 0.12}, IsTied: true, IsAsked: true, HasRoom: true, StatedLimit: &limit},
		}
		e.EnginesOmitted = 12
		e.Excluded = []explanation.Exclusion{
			{ID: "lm-3", DataCentre: "zg-a", Reason: explanation.Leaving}, {ID: "lm-4", DataCentre: "zg-a", Reason: explanation.Paused, TimeLeft: 1500},
		}
		return e
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against changes on which operators' scripts depend: output, exit codes,
// and the precedence of flags, environment and file.
func TestScripts(t *testing.T) {
	route := newRecord(1, "r-1", "route", "lm-1")
	route.Peer, route.Reason, route.Account = "lm-1", "lower pressure", "baker"
	route.Observations = []decisions.Observation{{Subject: "lm-1", Name: "pressure", Value: 0.25}, {Subject: "lm-2", Name: "pressure", Value: 1}}
	gateway := fakeProcess(t, "gateway-1", "aaaaaaaaaaaaaaaaaaaa", route, newRecord(4, "r-1", "resume", "after token 9"), newRecord(2, "r-2", "route", "lm-2"))
	sidecar := fakeProcess(t, "lm-1", "aaaaaaaaaaaaaaaaaaaa", newRecord(3, "r-1", "admit", "running"))
	other := fakeProcess(t, "lm-2", "bbbbbbbbbbbbbbbbbbbb")
	router := fakeRouter(t)
	list := httptest.NewServer(instances.New([]instance.Instance{
		{Name: "lm-1", Service: "lm", State: instance.StateLive, SidecarAddress: sidecar},
	}, 0).Handler())
	t.Cleanup(list.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("GATEWAY", gateway)
			e.Setenv("SIDECAR", sidecar)
			e.Setenv("OTHER", other)
			e.Setenv("ROUTER", router)
			fleet, err := json.Marshal(settings.Settings{
				GatewayPeers: []string{gateway}, InstanceList: strings.TrimPrefix(list.URL, "http://"), PeerSecretFile: "secret",
			})
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(e.WorkDir, "fleet.json"), fleet, 0o600)
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

// Guards against a flag that does not override the environment, and against an
// environment that does not override the file.
func TestSettingsPrecedence(t *testing.T) {
	file := t.TempDir() + "/settings.json"
	require.NoError(t, os.WriteFile(file, []byte(`{"name":"file","region":"file","data_centre":"file"}`), 0o600))
	p := &program{environment: func(name string) (string, bool) {
		value, ok := map[string]string{"FLAMINGOHOLD_SETTINGS": file, "FLAMINGOHOLD_REGION": "env", "FLAMINGOHOLD_DATA_CENTRE": "env"}[name]
		return value, ok
	}}
	o := &processOptions{values: make(map[string]*string)}
	for _, f := range settings.Fields() {
		o.values[f.Name] = new(string)
	}
	*o.values["data_centre"] = "flag"
	s, err := p.loadSettings(o)
	require.NoError(t, err)
	require.Equal(t, []string{"file", "env", "flag"}, []string{s.Name, s.Region, s.DataCentre})
}
