package daemon

import (
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/membership"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// peerService is the RPC service Peer of an entry, for other entries and agents.
type peerService struct {
	ownership *membership.Ownership
	entries   *membership.Entries
	manifests *manifest.Controller
}

// Owner returns the owner of a domain as known to this entry, and the known
// entries. Error code: not_found.
func (s *peerService) Owner(args *structs.OwnerArgs, reply *structs.OwnerReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Peer.Owner")
	defer end()
	owner, ok := s.ownership.Owner(args.Domain)
	reply.Entries = s.entries.List()
	if !ok {
		reply.Err = verdict.Refuse(verdict.CodeNotFound, "no owner of domain %q is known", args.Domain)
		return nil
	}
	reply.Owner = owner
	return nil
}

// ManifestChanged applies the changes of a newer manifest.
func (s *peerService) ManifestChanged(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Peer.ManifestChanged")
	defer end()
	return s.manifests.ServeChanged(args, reply)
}

// ManifestDelta returns the changes of the manifest since a version.
func (s *peerService) ManifestDelta(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Peer.ManifestDelta")
	defer end()
	return s.manifests.ServeDelta(args, reply)
}
