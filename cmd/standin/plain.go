package main

import (
	"context"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/standin/plainservice"
)

type plainCommand struct {
	address string
	options plainservice.Options
}

func (c *plainCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	c.address = "127.0.0.1:0"
	c.options.Name = "plain"
	s := flaggy.NewSubcommand("plain")
	s.Description = "Run a stand-in for a plain service that handles orders"
	s.String(&c.address, "a", "address", "ip:port to listen on")
	s.String(&c.options.Name, "n", "name", "name of the service")
	s.Duration(&c.options.Delay, "d", "delay", "duration of each request")
	s.Bool(&c.options.Deduplicate, "", "deduplicate", "return the first result for a repeated Idempotency-Key")
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *plainCommand) run(ctx context.Context) error {
	return serve(ctx, c.address, &http.Server{Handler: plainservice.New(c.options).Handler()})
}
