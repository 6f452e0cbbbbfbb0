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
	askTimeout     = 3 * time.Second
	maxAnswerBytes = 16 << 20
	// askConcurrency bounds the processes asked at once, so that 1,400 of them
	// need no more than a few connections.
	askConcurrency = 32
)

// askOptions are the flags of commands that ask processes.
type askOptions struct {
	addresses  []string
	secretFile string
}

func (o *askOptions) add(flags *flaggy.Subcommand, help string) {
	flags.StringSlice(&o.addresses, "a", "at", help+" (several by repetition or with commas; or FLAMINGOHOLD_AT)")
	flags.String(&o.secretFile, "s", "peer-secret-file", "file with the peer secret (or FLAMINGOHOLD_PEER_SECRET_FILE)")
}

// complete takes what no flag gives from the environment, and reports whether
// there is an address.
func (o *askOptions) complete(environment func(string) (string, bool)) bool {
	if list, ok := environment(environmentPrefix + "AT"); ok && len(o.addresses) == 0 {
		o.addresses = []string{list}
	}
	o.addresses = strings.FieldsFunc(strings.Join(o.addresses, ","), func(r rune) bool { return r == ',' || r == ' ' })
	if file, ok := environment(environmentPrefix + "PEER_SECRET_FILE"); ok && o.secretFile == "" {
		o.secretFile = file
	}
	return len(o.addresses) > 0
}

func (o *askOptions) secret() (string, error) {
	if o.secretFile == "" {
		return "", nil
	}
	content, err := os.ReadFile(o.secretFile)
	return strings.TrimSpace(string(content)), errors.Wrap(err, "read peer secret")
}

// addFleet adds the gateways and the sidecars that the settings file of a
// gateway leads to, and takes its peer secret if there is no other.
func (o *askOptions) addFleet(ctx context.Context, file string) error {
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
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	instances, err := instancelist.Read(ctx, s.InstanceList)
	for _, i := range instances {
		o.addresses = append(o.addresses, i.SidecarAddress)
	}
	return err
}

// reply is one process's answer.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// askAll returns the answers of the processes in the order of the addresses.
func askAll[T any](ctx context.Context, addresses []string, secret, path string) []reply[T] {
	replies := make([]reply[T], len(addresses))
	places := make(chan struct{}, askConcurrency)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			replies[i].address = address
			replies[i].err = ask(ctx, address, secret, path, &replies[i].value)
		})
	}
	group.Wait()
	return replies
}

func ask(ctx context.Context, address, secret, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		return errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("ask %s: status %d", address, response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	return errors.Wrapf(decoder.Decode(value), "ask %s", address)
}
