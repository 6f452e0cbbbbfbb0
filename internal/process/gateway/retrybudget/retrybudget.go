package retrybudget

import "sync"

const (
	// retriesPerSuccess is the number of retries that one success adds to the
	// budget.
	retriesPerSuccess = 0.1
	// maxBalance is the initial balance and the maximum, in retries.
	maxBalance = 10
)

// Budget bounds the retries of one gateway. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// balance is the number of retries available, from 0 to maxBalance.
	balance float64
}

// New returns a full budget.
func New() *Budget { return &Budget{balance: maxBalance} }

// RecordSuccess records a successful request, which adds a fraction of a retry.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxBalance, b.balance+retriesPerSuccess)
}

// TryRetry takes one retry from the budget and reports whether one was available.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
