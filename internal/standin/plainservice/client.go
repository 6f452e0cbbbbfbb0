package plainservice

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ReadCounts returns the execution counts of the service at the address
// "host:port".
func ReadCounts(ctx context.Context, address string) ([]Count, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/counts", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "create request for counts")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "read counts of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var counts []Count
	err = json.NewDecoder(response.Body).Decode(&counts)
	return counts, errors.Wrapf(err, "decode counts of %s", address)
}
