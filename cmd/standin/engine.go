package main

import (
	"context"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
)

type engineCommand struct {
	address string
	warm    bool
	options engine.Options
}

func newEngineCommand() *engineCommand {
	return &engineCommand{
		address: "127.0.0.1:0",
		options: engine.Options{Name: "engine", Models: []string{"model"}, Profile: engine.DefaultProfile()},
	}
}

func (c *engineCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("engine")
	s.Description = "Run a stand-in for a model engine"
	s.String(&c.address, "a", "address", "ip:port to listen on")
	s.String(&c.options.Name, "n", "name", "name of the engine")
	models := &c.options.Models
	s.StringSlice(models, "m", "model", "name of a model that the engine serves, may be repeated")
	s.Float64(&c.options.Profile.Slowdown, "s", "slowdown", "factor by which the duration of every step is multiplied")
	s.Int(&c.options.Profile.MemoryTokens, "", "memory-tokens", "size of the KV cache in tokens")
	s.Int(&c.options.Profile.WarmUpTokens, "", "warm-up-tokens", "number of tokens after which a cold engine is warm")
	s.Bool(&c.warm, "w", "warm", "start warm instead of cold")
	s.Bool(&c.options.ChecksFencing, "f", "fencing", "reject control requests with a stale fencing number")
	s.String(&c.options.WeightStore, "", "weight-store", "ip:port of the weight store")
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *engineCommand) run(ctx context.Context) error {
	// flaggy appends to a default slice, so the default is removed if the command
	// line names models.
	if len(c.options.Models) > 1 {
		c.options.Models = c.options.Models[1:]
	}
	c.options.StartCold = !c.warm
	e := engine.New(c.options)
	go func() { _ = e.Run(ctx) }()
	return serve(ctx, c.address, &http.Server{Handler: e.Handler(), ConnContext: e.ConnContext})
}
