package measure

import (
	"fmt"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/admission"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/fairqueue"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/ledger"
	"github.com/flamingohold/flamingohold/internal/process/sidecar/outputlength"
	"github.com/flamingohold/flamingohold/internal/request/tokenlog"
	"github.com/flamingohold/flamingohold/internal/request/work"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const (
	// stepTime is the step time of the simulated engine.
	stepTime = 20 * time.Millisecond
	// chunkBytes is the size of an event with one token from an OpenAI-compatible
	// engine.
	chunkBytes = 230
)

func admissionDefinitions() []definition {
	batches := []int{8, 16, 32, 64, 128, 256}
	return []definition{
		{"admission_step", "ns", "running generation", batches, admissionStep},
		{"admission_memory", "B", "running generation", batches, admissionMemory},
		{"output_length_memory", "B", "account", []int{100, 200, 400, 800, 1600}, outputLengthMemory},
		{"queue_memory", "B", "waiting attempt", []int{64, 128, 256, 512, 1024}, queueMemory},
		{"queue_hand_over", "ns", "waiting account", []int{4, 16, 64, 256}, queueNext},
		{"token_log_memory", "B", "logged token", []int{500, 1000, 2000, 4000, 8000}, tokenLogMemory},
		{"ledger_memory", "B", "attempt record", []int{500, 1000, 2000, 4000, 8000}, ledgerMemory},
	}
}

func generationWork(i int) work.Work {
	return work.Work{
		ID: fmt.Sprintf("0190a1b2-c3d4-7000-8000-%012d", i), Account: fmt.Sprintf("account-%05d", i),
		Weight: 1, Model: "model-1", PromptTokens: 300, ExpectedTokens: 600, Deadline: start.Add(time.Hour),
	}
}

// newController returns a controller with batch running generations, each of which
// has generated one token, and their IDs.
func newController(batch int) (*admission.Controller, []string) {
	policy := fleet.DefaultPolicy()
	policy.SlowStart = false
	c := admission.New(policy, batch, 100_000_000, start)
	ids := make([]string, 0, batch)
	for i := range batch {
		w := generationWork(i)
		c.Admit(w, start)
		c.ObserveToken(w.ID, start)
		ids = append(ids, w.ID)
	}
	return c, ids
}

// admissionStep returns the time that the controller takes for one step of the
// engine. It records a token of each generation and updates its estimate of the
// step time.
func admissionStep(batch int) float64 {
	c, ids := newController(batch)
	now := start
	return nanoseconds(func() {
		now = now.Add(stepTime)
		for _, id := range ids {
			c.ObserveToken(id, now)
		}
	})
}

func admissionMemory(batch int) float64 {
	return heapBytes(nil, func() any {
		c, _ := newController(batch)
		return c
	})
}

func outputLengthMemory(accounts int) float64 {
	return heapBytes(nil, func() any {
		e := outputlength.New()
		for i := range accounts {
			e.Observe(fmt.Sprintf("account-%05d", i), "model-1", 300, true)
		}
		return e
	})
}

func queueMemory(waiting int) float64 {
	return heapBytes(nil, func() any {
		q := fairqueue.New(10*waiting, true)
		for i := range waiting {
			q.Push(generationWork(i), start)
		}
		return q
	})
}

// queueNext returns the time to select and remove the next request of the queue and
// to push it again, with one waiting request for each account.
func queueNext(accounts int) float64 {
	q := fairqueue.New(10*accounts, true)
	for i := range accounts {
		q.Push(generationWork(i), start)
	}
	return nanoseconds(func() {
		w, _ := q.Next()
		q.Remove(w.ID)
		q.Push(w, start)
	})
}

func tokenLogMemory(tokens int) float64 {
	return heapBytes(nil, func() any {
		log := tokenlog.New("worker-1.0123456789abcdef.1", "account-1", 1<<30, start)
		for i := range tokens {
			_, _ = log.Append(uint64(i+1), make([]byte, chunkBytes))
		}
		return log
	})
}

func ledgerMemory(attempts int) float64 {
	return heapBytes(nil, func() any { return filledLedger(attempts) })
}

// filledLedger returns a ledger with finished attempts of generations. It does not
// store their results.
func filledLedger(attempts int) *ledger.Ledger {
	l := ledger.New("0123456789abcdef", attempts, 1<<30, start)
	for i := range attempts {
		id := generationWork(i).ID
		l.Offer(ledger.Offer{
			ID: id, Account: "account-00001", Fingerprint: "0123456789abcdef0123456789abcdef",
			Binding: l.Binding(start),
		}, start)
		l.Start(id)
		l.Finish(id, ledger.Result{}, start)
	}
	return l
}
