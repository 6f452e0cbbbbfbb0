package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/standin/deployment"
)

// publishCommand writes a bundle to the configuration service, as operators do.
// The processes of the system only read from it.
type publishCommand struct {
	address string
	bundle  string
}

func (c *publishCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("publish")
	s.Description = "Publish a bundle to the configuration service"
	s.String(&c.address, "a", "address", "ip:port of the configuration service")
	s.String(&c.bundle, "b", "bundle", "output directory of flamingohold collect")
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *publishCommand) run(ctx context.Context) error {
	return deployment.Publish(ctx, c.address, c.bundle)
}
