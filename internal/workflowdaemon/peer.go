package workflowdaemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// storePeers returns the other entries as ways to the store.
func (e *Entry) storePeers() []rowstore.Peer {
	var out []rowstore.Peer
	for _, addr := range e.peerAddrsOrSeeds() {
		out = append(out, rowstore.Peer{Name: addr, Call: e.storeCallVia(addr)})
	}
	return out
}

func (e *Entry) storeCallVia(addr string) rowstore.CallFunc {
	return func(ctx context.Context, c rowstore.Call) (rowstore.Answer, error) {
		reply := &workflowrpc.StoreReply{}
		err := e.opts.Caller.Call(ctx, addr, workflowrpc.MethodStore, &workflowrpc.StoreArgs{Call: c}, reply)
		return reply.Answer, err
	}
}

// sendToOwner sends a row that this entry has written to the owner, which need not wait for
// the store's feed then. The call is not repeated: the feed delivers the row as well.
func (e *Entry) sendToOwner(r rowstore.Row) {
	holder, ok := e.elector.Owner()
	if !ok || holder.Addr == "" || holder.Addr == e.opts.RPCAddr {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		args := &workflowrpc.RowsArgs{Rows: []rowstore.Row{r}}
		if err := e.opts.Caller.Call(ctx, holder.Addr, workflowrpc.MethodRows, args, &workflowrpc.RowsReply{}); err != nil {
			e.opts.Log.Event("row_not_sent", "owner", holder.ID, "key", r.Key, "err", err.Error())
		}
	}()
}

// maxConfirmRows limits the rows in a reply to Confirm. An owner that lost the
// store before the others did lacks the changes of about 2 s.
const maxConfirmRows = 200

// confirmOwnership asks all other entries not to take over. It succeeds if none
// refuses and more than half of all entries, this one included, promise; with many
// entries one is nearly always down. The store may have become unavailable to this
// entry before it did to the others. Rows that they have seen since then, and may
// have confirmed to clients, are merged before the confirmation counts.
func (e *Entry) confirmOwnership(ctx context.Context, epoch uint64) bool {
	var wg sync.WaitGroup
	var refused atomic.Bool
	var promised atomic.Int64
	var outage outageEvidence
	outage.add(e.config.mirror.UnansweredAsOf())
	peers, asked := e.peerAddrsByID(), e.opts.Clock()
	for _, addr := range peers {
		wg.Go(func() {
			reply := &workflowrpc.ConfirmReply{}
			args := e.confirmArgs()
			args.Epoch, args.After = epoch, e.syncedVersion(addr)
			began := e.opts.Clock()
			err := e.opts.Caller.Call(ctx, addr, workflowrpc.MethodConfirm, args, reply)
			e.config.evacuations.merge(reply.Evacuations, began, addr)
			switch {
			case err != nil:
			case !reply.Promised || reply.More:
				refused.Store(true)
			default:
				promised.Add(1)
				outage.add(began-reply.Unanswered, reply.HasUnanswered)
			}
			if reply.Epoch > epoch {
				e.elector.NoticeEpoch(reply.Epoch)
			}
			e.mergePeerRows(addr, reply.Rows, reply.More)
		})
	}
	wg.Wait()
	if refused.Load() || 2*(promised.Load()+1) <= int64(len(peers)+1) {
		return false
	}
	outage.apply(e.config.evacuations)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastFullSyncRequestedAt = asked
	return true
}

// confirmArgs returns the arguments of a call of Confirm that asks for no promise: epoch 0 is
// below the epoch of any owner.
func (e *Entry) confirmArgs() *workflowrpc.ConfirmArgs {
	return &workflowrpc.ConfirmArgs{Addr: e.opts.RPCAddr, ConfigVersion: e.config.version(), EvacuationVersion: e.config.evacuations.newest()}
}

// syncedVersion returns the version after which a peer should send its rows.
func (e *Entry) syncedVersion(peer string) uint64 {
	version := e.tableMirror.Version()
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(version, e.partialSyncs[peer])
}

// mergePeerRows adds rows that a peer has sent. They are sorted by version, oldest
// first.
func (e *Entry) mergePeerRows(peer string, rows []rowstore.Row, more bool) {
	if len(rows) == 0 {
		return
	}
	for _, r := range rows {
		e.tableMirror.RecordRow(r)
	}
	last := rows[len(rows)-1].Version
	e.opts.Log.Event("rows_taken_from_peer", "peer", peer, "rows", len(rows), "version", last, "more", more)
	e.mu.Lock()
	defer e.mu.Unlock()
	if more {
		e.partialSyncs[peer] = last
	} else {
		// A write of the peer with an earlier version may still be acknowledged,
		// so the next reply must contain all rows after the mirror's version.
		delete(e.partialSyncs, peer)
	}
}

// tasksService is the RPC service Tasks of an entry.
type tasksService struct{ entry *Entry }

// Sync passes an agent's call to the owner if this entry is the owner. Otherwise it
// returns the owner's address.
func (s *tasksService) Sync(args *workflowrpc.SyncArgs, reply *workflowrpc.SyncReply) error {
	if o := s.entry.currentOwner(); o != nil {
		if !panicguard.Run(s.entry.opts.Log, "agent_call", func() { o.Sync(args, reply) }) {
			*reply = workflowrpc.SyncReply{}
			reply.Err = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the call could not be served")
		}
		return nil
	}
	if holder, ok := s.entry.elector.Owner(); ok {
		reply.Owner, reply.Epoch = holder.Addr, holder.Epoch
	}
	if addrs, version := s.entry.entries.sortedAddrs(); version != args.EntriesVersion {
		reply.Entries, reply.EntriesVersion = addrs, version
	}
	reply.Err = verdict.Refuse(verdict.CodeNotOwner, "this entry is not the owner")
	return nil
}

// peerService is the RPC service Peer of an entry.
type peerService struct{ entry *Entry }

// Confirm promises the owner of the given epoch not to take over for a while, and
// returns the rows that the caller lacks. It refuses while the store responds to
// this entry: an owner that alone has lost the store has to be replaced.
func (s *peerService) Confirm(args *workflowrpc.ConfirmArgs, reply *workflowrpc.ConfirmReply) error {
	if args.Addr != "" {
		s.entry.addSeed(args.Addr)
		go s.entry.config.versionAnnounced(args.ConfigVersion, args.EvacuationVersion, args.Addr)
	}
	s.entry.describeEvacuations(reply)
	reply.Promised = s.entry.elector.PromiseNotToTakeOver(args.Epoch)
	if reply.Promised {
		reply.Rows, reply.More = s.entry.tableMirror.After(args.After, maxConfirmRows)
	}
	if holder, ok := s.entry.elector.Owner(); ok {
		reply.Epoch = holder.Epoch
	}
	return nil
}

// Rows adds rows that another entry has written to this entry's copy of the table.
func (s *peerService) Rows(args *workflowrpc.RowsArgs, _ *workflowrpc.RowsReply) error {
	for _, r := range args.Rows {
		s.entry.tableMirror.RecordRow(r)
	}
	return nil
}

// Store performs a store call for a process that cannot reach the store.
func (s *peerService) Store(args *workflowrpc.StoreArgs, reply *workflowrpc.StoreReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, workflowrpc.MethodStore)
	defer end()
	answer, err := s.entry.failover.DoForPeer(ctx, args.Call)
	if err != nil {
		reply.Err = verdict.From(err)
		return nil
	}
	reply.Answer = answer
	return nil
}

// ConfigChanged learns of a version that is in force at another entry. It replies before it
// has the version.
func (s *peerService) ConfigChanged(args *workflowrpc.ConfigChangedArgs, _ *workflowrpc.ConfigChangedReply) error {
	go s.entry.config.versionAnnounced(args.Version, args.EvacuationVersion, args.Addr)
	return nil
}

// Config returns the configuration in force. A large document is sent only to a caller that
// asks for it: the caller may ask several entries for the version, and its link may be slow.
func (s *peerService) Config(args *workflowrpc.ConfigArgs, reply *workflowrpc.ConfigReply) error {
	// The age is read first: it then also holds for a version that comes into force between.
	reply.Age, reply.Confirmed = s.entry.Config.Age()
	reply.StoreVersion = s.entry.config.mirror.Version()
	reply.Evacuations = s.entry.config.evacuations.message()
	if c := s.entry.Config.Current(); c != nil {
		reply.Version = c.Version
		if c.Version > args.Version && (args.Large || len(c.Document) <= maxSmallDocument) {
			reply.Document = c.Document
		}
	}
	return nil
}
