package retrybudget

import "sync"

const (
	// perSuccess is the number of retries that one success pays for.
	perSuccess = 0.1
	// reserve is the balance of a new budget and its upper bound.
	reserve = 10
)

// Budget bounds the retries of one gateway. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// balance is the number of retries that may be spent, from 0 to reserve.
	balance float64
}

// New returns a full budget.
func New() *Budget { return &Budget{balance: reserve} }

// Success pays for a fraction of a retry.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(reserve, b.balance+perSuccess)
}

// Spend takes one retry from the budget and reports whether it was there.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
