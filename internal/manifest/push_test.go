package manifest

import (
	"context"
	"testing"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// pushRecorder is a Caller that records the addresses to which a manifest is pushed.
type pushRecorder []string

func (p *pushRecorder) Call(_ context.Context, addr, _ string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	*p = append(*p, addr)
	reply.(*structs.ManifestReply).Version = args.(*structs.ManifestArgs).Have
	return nil
}

// Guards against a push that misses an entry which has just started. Such an entry would
// not learn of the manifest if it cannot reach the platform.
func TestApplyRefreshesEntriesBeforePush(t *testing.T) {
	var calls pushRecorder
	var known []structs.EntryInfo
	c := NewController(ControllerOptions{
		Holder: &Holder{}, Caller: &calls, SelfID: "e1", Store: &Store{Table: platformstub.New(platformstub.Options{}).InProcess()},
		Entries: func() []structs.EntryInfo { return known },
		Refresh: func(context.Context) { known = []structs.EntryInfo{{ID: "e2", RPCAddr: "addr2"}} },
	})
	if _, err := c.Apply(t.Context(), mustDecode(t, readExample(t, "al-wusta.yaml"))); err != nil {
		t.Fatal(err)
	}
	if len(calls) != 1 || calls[0] != "addr2" {
		t.Fatalf("pushed to %v", calls)
	}
}
