package daemon

import (
	"expvar"

	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/rpc"
)

// publishMetrics publishes the bytes and calls of the RPC connections of this
// process, and the version of its manifest in force.
func publishMetrics(pool *rpc.Pool, server *rpc.Server, holder *manifest.Holder) {
	expvar.Publish("parsleypier_manifest_version", expvar.Func(func() any { return holder.Version() }))
	m := expvar.NewMap("parsleypier_rpc")
	for name, f := range map[string]func() int64{
		"client_sent_bytes":     pool.SentBytes.Load,
		"client_received_bytes": pool.ReceivedBytes.Load,
		"server_sent_bytes":     server.SentBytes.Load,
		"server_received_bytes": server.ReceivedBytes.Load,
		"client_calls":          pool.Calls.Load,
		"server_calls":          server.Calls.Load,
	} {
		m.Set(name, expvar.Func(func() any { return f() }))
	}
}
