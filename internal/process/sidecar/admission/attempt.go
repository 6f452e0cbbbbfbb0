package admission

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

// attempt is the state of admitted work.
type attempt struct {
	work work.Work
	// epoch is the epoch of the ramp at admission.
	epoch      uint64
	admittedAt time.Time
	// lastToken is when the last token arrived, zero before the first.
	lastToken time.Time
	generated int
	// length is the expected total output in tokens, at the policy's quantile.
	length int
	// refineAt is the number of generated tokens at which length is estimated
	// again.
	refineAt int
}

// occupied returns the block memory that the work occupies now, in tokens.
func (a *attempt) occupied() int { return a.work.PromptTokens + a.generated }

func (a *attempt) demand() demand { return demand{a.occupied(), max(0, a.length-a.generated)} }
