package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Time limits of fetching a manifest. A new manifest must be in force in every
// process within 3 s.
const (
	manifestTimeout    = time.Second
	manifestRetryDelay = 300 * time.Millisecond
	// manifestPollAfter is the time without a reply from an owner after which the
	// agent polls the entries for a manifest. Waiting for the next owner instead
	// took up to 3.8 s.
	manifestPollAfter = 1200 * time.Millisecond
	// manifestPollTimeout is short enough for two unresponsive entries to be polled
	// within the 3 s.
	manifestPollTimeout = 400 * time.Millisecond
)

// manifestRequest is a manifest version to fetch and the address of an entry that
// has it.
type manifestRequest struct {
	version uint64
	addr    string
}

// requestManifest makes followManifest fetch the version if it is newer than the
// manifest held.
func (a *Agent) requestManifest(addr string, version uint64) {
	if a.cfg.Manifest == nil || version <= a.cfg.Manifest.Version() {
		return
	}
	select {
	case <-a.manifestRequests: // drop an older request
	default:
	}
	select {
	case a.manifestRequests <- manifestRequest{version, addr}:
	default:
	}
}

// followManifest fetches requested manifests, and polls the entries for newer ones
// while no owner replies.
func (a *Agent) followManifest() {
	for {
		var want manifestRequest
		select {
		case want = <-a.manifestRequests:
		case <-time.After(manifestPollAfter / 4):
			if last := a.lastOwnerReply.Load(); last == nil || time.Since(*last) > manifestPollAfter {
				a.pollManifest()
				retry.Sleep(a.ctx, retry.Jitter(manifestPollAfter/2))
			}
			continue
		case <-a.ctx.Done():
			return
		}
		for a.cfg.Manifest.Version() < want.version {
			if a.fetchManifest(want) {
				continue
			}
			if !retry.Sleep(a.ctx, retry.Jitter(manifestRetryDelay)) {
				return
			}
			select {
			case want = <-a.manifestRequests:
			default:
			}
		}
	}
}

// fetchManifest asks the entry that has the version, then all others, until one
// sends a newer manifest. It reports whether the manifest advanced.
func (a *Agent) fetchManifest(want manifestRequest) bool {
	holder := a.cfg.Manifest
	for _, addr := range append([]string{want.addr}, a.ownerTracker.candidates()...) {
		ctx, cancel := context.WithTimeout(a.ctx, manifestTimeout)
		reply := &structs.ManifestReply{}
		err := a.cfg.Pool.Call(ctx, addr, "Peer.ManifestDelta", &structs.ManifestArgs{Have: holder.Version()}, reply)
		cancel()
		if err == nil && reply.Delta != nil && holder.Advance(reply.Delta) {
			klog.InfoS("manifest in force", "manifestVersion", holder.Version())
			return true
		}
		if a.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// pollManifest asks the entries one after the other for a newer manifest until one
// replies.
func (a *Agent) pollManifest() {
	holder := a.cfg.Manifest
	if holder == nil {
		return
	}
	for _, addr := range a.ownerTracker.candidates() {
		ctx, cancel := context.WithTimeout(a.ctx, manifestPollTimeout)
		reply := &structs.ManifestReply{}
		err := a.cfg.Pool.Call(ctx, addr, "Peer.ManifestDelta", &structs.ManifestArgs{Have: holder.Version()}, reply)
		cancel()
		if err == nil {
			if reply.Delta != nil && holder.Advance(reply.Delta) {
				klog.InfoS("manifest in force", "manifestVersion", holder.Version())
			}
			return
		}
	}
}
