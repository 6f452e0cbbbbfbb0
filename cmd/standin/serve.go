package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 10 * time.Second

// serve runs the server on the address until the context ends. It prints the
// address as soon as the server listens.
func serve(ctx context.Context, address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Println("listening on", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
