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
	// reserved is the part of block memory set aside, in tokens.
	reserved int
	// refineAt is the number of generated tokens at which reserved is set anew.
	refineAt int
}

// held returns the block memory that the work occupies now, in tokens.
func (p *place) held() int { return p.work.PromptTokens + p.generated }
