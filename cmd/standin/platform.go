package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/standin/configservice"
	"github.com/flamingohold/flamingohold/internal/standin/instances"
	"github.com/flamingohold/flamingohold/internal/standin/weightstore"
)

// platformCommand serves stand-ins for the configuration service, the instance
// list and the weight store on one address.
type platformCommand struct {
	address       string
	instancesFile string
	listLag       time.Duration
	weightRate    int64
	weightSize    int64
}

func newPlatformCommand() *platformCommand {
	return &platformCommand{
		address:    "127.0.0.1:0",
		listLag:    2 * time.Second,
		weightRate: 64 << 20,
		weightSize: 16 << 20,
	}
}

func (c *platformCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("platform")
	s.Description = "Run stand-ins for the configuration service, the instance list and the weight store"
	s.String(&c.address, "a", "address", "ip:port to listen on")
	s.String(&c.instancesFile, "i", "instances", "JSON file with the initial instances")
	s.Duration(&c.listLag, "l", "lag", "time by which the instance list lags behind changes")
	s.Int64(&c.weightRate, "", "weight-rate", "rate of the weight store in bytes per second")
	s.Int64(&c.weightSize, "", "weight-size", "size of the weights of a model in bytes")
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *platformCommand) run(ctx context.Context) error {
	initial, err := c.readInstances()
	if err != nil {
		return err
	}
	configuration := configservice.New().Handler()
	list := instances.New(initial, c.listLag).Handler()
	mux := http.NewServeMux()
	mux.Handle("/v1/kv/", configuration)
	mux.Handle("/admin/configuration", configuration)
	mux.Handle("/v1/instances", list)
	mux.Handle("/admin/instances/", list)
	mux.Handle("/v1/weights/", weightstore.New(c.weightRate, c.weightSize).Handler())
	return serve(ctx, c.address, &http.Server{Handler: mux})
}

func (c *platformCommand) readInstances() ([]instance.Instance, error) {
	if c.instancesFile == "" {
		return nil, nil
	}
	content, err := os.ReadFile(c.instancesFile)
	if err != nil {
		return nil, errors.Wrap(err, "read instances")
	}
	var list []instance.Instance
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, errors.Wrapf(err, "read instances from %s", c.instancesFile)
	}
	return list, nil
}
