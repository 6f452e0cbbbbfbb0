package upstreamclient

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// PostJSON sends the request as JSON to the path at the address, which may hold it
// for the given time, and decodes the answer into response. It returns the size of
// the answer's body in bytes. Every status but 200 is an error.
func (f *Fetcher) PostJSON(ctx context.Context, address, path string, request, response any, hold time.Duration) (int, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, errors.Wrapf(err, "encode request to %s", path)
	}
	reply, err := f.Fetch(ctx, address, &Request{
		Method: http.MethodPost, Target: path, Host: address, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	}, hold)
	if err != nil {
		return 0, err
	}
	size := len(reply.Body)
	if reply.Status != http.StatusOK {
		return size, errors.Newf("%s answered %s with status %d", address, path, reply.Status)
	}
	return size, errors.Wrapf(json.Unmarshal(reply.Body, response), "decode answer of %s to %s", address, path)
}
