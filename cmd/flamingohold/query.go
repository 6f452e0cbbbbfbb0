package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/process/instancelist"
	"github.com/flamingohold/flamingohold/internal/process/settings"
)

const (
	queryTimeout     = 3 * time.Second
	maxResponseBytes = 16 << 20
	// queryConcurrency limits the number of concurrent queries, so that querying
	// 1,400 processes needs only a few connections at a time.
	queryConcurrency = 32
)

// queryOptions holds the flags of commands that query running processes.
type queryOptions struct {
	addresses  []string
	secretFile string
}

func (o *queryOptions) add(flags *flaggy.Subcommand, help string) {
	flags.StringSlice(&o.addresses, "a", "at", help+" (may be repeated or contain several, separated by commas; or FLAMINGOHOLD_AT)")
	flags.String(&o.secretFile, "s", "peer-secret-file", "file with the peer secret (or FLAMINGOHOLD_PEER_SECRET_FILE)")
}

// complete sets the options that no flag has set from the environment, and
// reports whether there is an address.
func (o *queryOptions) complete(environment func(string) (string, bool)) bool {
	if list, ok := environment(environmentPrefix + "AT"); ok && len(o.addresses) == 0 {
		o.addresses = []string{list}
	}
	o.addresses = strings.FieldsFunc(strings.Join(o.addresses, ","), func(r rune) bool { return r == ',' || r == ' ' })
	if file, ok := environment(environmentPrefix + "PEER_SECRET_FILE"); ok && o.secretFile == "" {
		o.secretFile = file
	}
	return len(o.addresses) > 0
}

func (o *queryOptions) secret() (string, error) {
	if o.secretFile == "" {
		return "", nil
	}
	content, err := os.ReadFile(o.secretFile)
	return strings.TrimSpace(string(content)), errors.Wrap(err, "read peer secret")
}

// addFleet adds the addresses of the gateway peers and of the sidecars in the
// instance list that the settings file of a gateway names. It uses the gateway's
// peer secret file if no other is given.
func (o *queryOptions) addFleet(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if o.secretFile == "" {
		o.secretFile = s.PeerSecretFile
	}
	o.addresses = append(o.addresses, s.GatewayPeers...)
	if s.InstanceList == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	instances, err := instancelist.Read(ctx, s.InstanceList)
	for _, i := range instances {
		o.addresses = append(o.addresses, i.SidecarAddress)
	}
	return err
}

// reply is the response of one process, or the error of the query.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries the processes concurrently and returns their replies in the
// order of the addresses.
func queryAll[T any](ctx context.Context, addresses []string, secret, path string) []reply[T] {
	replies := make([]reply[T], len(addresses))
	semaphore := make(chan struct{}, queryConcurrency)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			replies[i].address = address
			replies[i].err = query(ctx, address, secret, path, &replies[i].value)
		})
	}
	group.Wait()
	return replies
}

func query(ctx context.Context, address, secret, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrapf(err, "address %s", address)
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "query %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("query %s: status %d", address, response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	return errors.Wrapf(decoder.Decode(value), "query %s", address)
}
