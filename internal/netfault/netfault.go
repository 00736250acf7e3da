//go:build !faults

// Package netfault provides the functions with which all processes dial and listen.
// In builds with the tag faults, failure tests can cut and slow down the links to
// other machines. In other builds the functions are those of package net.
package netfault

import (
	"context"
	"net"
	"net/http"
)

// Dial connects to addr over TCP, with localIP as the local address (empty for any).
func Dial(ctx context.Context, localIP, addr string) (net.Conn, error) {
	return dialer(localIP).DialContext(ctx, "tcp", addr)
}

// Listen listens on a TCP address.
func Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Handler returns nil: faults can be injected only in builds with the tag faults.
func Handler() http.Handler { return nil }
