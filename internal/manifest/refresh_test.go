package manifest

import (
	"context"
	"testing"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// pushed records the addresses that a manifest was pushed to.
type pushed []string

func (p *pushed) Call(_ context.Context, addr, _ string, args rpc.Headed, reply rpc.Failer) error {
	*p = append(*p, addr)
	reply.(*structs.ManifestReply).Version = args.(*structs.ManifestArgs).Have
	return nil
}

// Guards against an accepted manifest that an entry which has just started, and
// is cut off from the platform, does not hear of.
func TestApplyReachesNewEntries(t *testing.T) {
	var calls pushed
	var known []structs.EntryInfo
	c := NewController(ControllerOptions{
		Holder: &Holder{}, Caller: &calls, SelfID: "e1", Store: &Store{Table: platformstub.New(platformstub.Options{}).InProcess()},
		Entries: func() []structs.EntryInfo { return known },
		Refresh: func(context.Context) { known = []structs.EntryInfo{{ID: "e2", RPCAddr: "addr2"}} },
	})
	if _, err := c.Apply(t.Context(), mustDecode(t, example(t, "al-wusta.yaml"))); err != nil {
		t.Fatal(err)
	}
	if len(calls) != 1 || calls[0] != "addr2" {
		t.Fatalf("pushed to %v", calls)
	}
}
