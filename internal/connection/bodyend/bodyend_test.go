package bodyend

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a peer that counts as running because it was asked before the system
// had closed its socket.
func TestPeerIsReachedAfterTheDelay(t *testing.T) {
	start := time.Now()
	for _, result := range []error{nil, errors.New("connection refused")} {
		err := Confirm(t.Context(), func(context.Context) error {
			require.GreaterOrEqual(t, time.Since(start), closeConfirmDelay)
			return result
		})
		require.Equal(t, result, err)
		start = time.Now()
	}
}
