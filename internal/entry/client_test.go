package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against differences between apiclient and the API of the entry. The client
// must skip an entry that is draining, and every entry must return every job.
func TestClientAgainstEntries(t *testing.T) {
	first, backend1 := newServer(t, nil)
	second, backend2 := newServer(t, nil)
	o := newOwner(t)
	o.onCancel = func(args *structs.CancelArgs, reply *structs.CancelReply) { reply.Cancelled = args.IDs }
	o.view = structs.DomainView{Domain: "d1", Workers: []structs.WorkerView{{ID: "w1"}}}
	backend1.setOwner("d1", o, 1)
	backend2.setOwner("d1", o, 1)
	a, b := httptest.NewServer(first.Handler()), httptest.NewServer(second.Handler())
	defer a.Close()
	defer b.Close()
	c, err := apiclient.New(apiclient.Options{Entries: []string{a.URL, b.URL}, Account: "bench"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	first.draining.Store(true)
	ctx := context.Background()
	job, err := c.Submit(ctx, structs.JobSpec{Kind: "order", RequestKey: "k"}, 5*time.Second)
	if err != nil || string(job.Result.Data) != "plan" {
		t.Fatalf("job %+v, error %v", job, err)
	}
	if r, err := c.Result(ctx, job.ID); err != nil || string(r.Data) != "plan" || r.Attempt != 1 {
		t.Errorf("result %+v, error %v", r, err)
	}
	if _, err := c.Submit(ctx, structs.JobSpec{Kind: "none"}, 0); !verdict.HasCode(err, verdict.CodeUnknownKind) || verdict.Of(err) != verdict.NotRun {
		t.Errorf("unknown kind: %v", err)
	}
	if r, err := c.Cancel(ctx, job.ID); err != nil || len(r.Cancelled) != 1 {
		t.Errorf("cancel %+v, error %v", r, err)
	}
	if v, err := c.View(ctx, "workers", "d1"); err != nil || v.Domains[0].Workers[0].ID != "w1" {
		t.Errorf("view %+v, error %v", v, err)
	}
	if m, err := c.Manifest(ctx, 0); err != nil || m.Version != 7 {
		t.Errorf("manifest %+v, error %v", m, err)
	}
}
