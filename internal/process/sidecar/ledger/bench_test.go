package ledger_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
)

// BenchmarkOrder measures offering, starting and finishing one attempt with an
// idempotency key.
func BenchmarkOrder(b *testing.B) {
	now := time.Unix(1000, 0)
	l := ledger.New("inc", 1<<30, 1<<40, now)
	binding := l.Binding(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		l.Offer(ledger.Offer{ID: id, Account: "bakery", Key: id, Fingerprint: "f", Binding: binding}, now)
		l.Start(id)
		l.Finish(id, ledger.Result{Status: 200}, now)
	}
}
