package adoption

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/consistency"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
)

// Reasons of a refusal.
const (
	// ReasonNotNewer means that the running version is the same or later.
	ReasonNotNewer = "not_newer"
	// ReasonIncomplete means that a chunk is missing. It may be published later.
	ReasonIncomplete = "incomplete"
	// ReasonCorrupt means that a chunk does not match its hash or cannot be
	// decoded.
	ReasonCorrupt = "corrupt"
	// ReasonInvalid means that the content is inconsistent.
	ReasonInvalid = "invalid"
)

// Refusal is the error for a bundle that is not put into force.
type Refusal struct {
	Version uint64
	Hash    string
	// Reason is one of the Reason constants.
	Reason string
	// Detail explains the reason.
	Detail string
}

// Error returns the bundle, the reason and the detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("bundle %d %.12s refused as %s: %s", r.Version, r.Hash, r.Reason, r.Detail)
}

// Decide returns the configuration that replaces the running one, which may be
// nil. Its error is always a *Refusal, after which the running configuration
// stays in force.
func Decide(running *configuration.Configuration, m *manifest.Manifest, chunks map[string][]byte) (*configuration.Configuration, error) {
	if !running.OlderThan(m.Version, m.Hash) {
		return nil, refuse(m, ReasonNotNewer, fmt.Sprintf("version %d %.12s is in force", running.Version, running.Hash))
	}
	next, err := bundle.Decode(m, chunks)
	if errors.Is(err, bundle.ErrIncomplete) {
		return nil, refuse(m, ReasonIncomplete, err.Error())
	}
	if err != nil {
		return nil, refuse(m, ReasonCorrupt, err.Error())
	}
	if findings := consistency.Check(next.Fleet, next.Services, next.Accounts); len(findings) > 0 {
		return nil, refuse(m, ReasonInvalid, findings[0].String())
	}
	return next, nil
}

func refuse(m *manifest.Manifest, reason, detail string) *Refusal {
	return &Refusal{Version: m.Version, Hash: m.Hash, Reason: reason, Detail: detail}
}
