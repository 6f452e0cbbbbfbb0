package peers

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

// FuzzExchange handles what a faulty router may send, or what is not from a router.
func FuzzExchange(f *testing.F) {
	for _, m := range []string{
		`{"address":"a:1","revision":7,"heartbeat":3,"peers":["b:2"],"peer_lags":[1],"contact_age_ms":5,"encoded":true,"held":{"op/config":3}}`,
		`{"address":"a:1","revision":-1,"peer_lags":[9223372036854775807],"peers":["","b"],"contact_age_ms":9223372036854775807}`,
		`{"address":"","notices":[{"id":"u","incarnation":9223372036854775807},{}],"limits":[{"id":"u","limited":true,"per_second":1e308,"version":18446744073709551615}]}`,
		`{"address":"a:1","stops_in_ms":9223372036854775807,"unstable_ms":9223372036854775807,"held_ms":-9223372036854775808}`,
		`{"address":"a:1","evidence":[{}],"readers":[{}],"link_mbps":-1}`,
		strings.Repeat(`{"held":`, 20_000), "[]", "", "\x00",
	} {
		f.Add([]byte(m))
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		upstreams := directory.New(eventlog.Discard(), func(string, string) (float64, bool) { return 0, false })
		p := newRouter(Options{Address: "self:1", Drains: upstreams})
		p.mirror.Apply(item(1), time.Now())
		p.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, exchangePath, bytes.NewReader(withoutWait(body))))
		p.Count()
		p.Ranked("name", 2)
		p.MustQueryStore()
	})
}

// withoutWait returns the message without a wait for changes, which never come.
func withoutWait(body []byte) []byte {
	return bytes.ReplaceAll(body, []byte("wait_ms"), []byte("no_wait"))
}
