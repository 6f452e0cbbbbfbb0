package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/standin/deployment"
)

// publishCommand is the operators' side of the configuration service: the
// system itself only reads there.
type publishCommand struct {
	address string
	bundle  string
}

func (c *publishCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("publish")
	s.Description = "Put a collected bundle into the configuration service"
	s.String(&c.address, "a", "address", "ip:port of the configuration service")
	s.String(&c.bundle, "b", "bundle", "folder written by flamingohold collect")
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *publishCommand) run(ctx context.Context) error {
	return deployment.Publish(ctx, c.address, c.bundle)
}
