package admission

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/request/work"
)

// place is the state of admitted work.
type place struct {
	work work.Work
	// epoch is the ramp's epoch at admission.
	epoch    uint64
	admitted time.Time
	// lastToken is when the last token arrived, zero before the first.
	lastToken time.Time
	generated int
	// length is the number of tokens that the output is expected to stay below,
	// by the policy's quantile.
	length int
	// refineAt is the number of generated tokens at which length is set anew.
	refineAt int
}

// held returns the block memory that the work occupies now, in tokens.
func (p *place) held() int { return p.work.PromptTokens + p.generated }

func (p *place) demand() demand { return demand{p.held(), max(0, p.length-p.generated)} }
