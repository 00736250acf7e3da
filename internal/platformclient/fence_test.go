package platformclient_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// A row must not be written if its fence no longer holds. The other writes of its
// transaction must not fail with it, and the verdict must be right also when the
// response to an earlier attempt was lost.
func TestFencedWrites(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults platformstub.Faults
		code   verdict.Code
		rows   int
	}{
		{"fence has changed", platformstub.Faults{}, verdict.CodeStaleEpoch, 0},
		// Each attempt takes effect, but its response is lost.
		{"written before", platformstub.Faults{LoseAnswers: 1}, "", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := platformstub.New(platformstub.Options{})
				table := s.InProcess()
				versions, err := table.Commit(t.Context(), platformclient.Txn{Puts: []platformclient.Put{{Key: "epochs/a"}, {Key: "epochs/b"}}})
				if err != nil {
					t.Fatal(err)
				}
				fence := func(domain string) *platformclient.Check {
					return &platformclient.Check{Key: "epochs/" + domain, Version: versions["epochs/"+domain]}
				}
				b := platformclient.NewBatcher(table, platformclient.BatchOptions{})
				defer closeBatch(t, b)
				takeOver := func() {
					if _, err := table.Commit(t.Context(), platformclient.Txn{Puts: []platformclient.Put{{Key: "epochs/a"}}}); err != nil {
						t.Error(err)
					}
				}
				if tc.faults == (platformstub.Faults{}) {
					takeOver()
				} else {
					setFaults(t, s, tc.faults)
					time.AfterFunc(30*time.Millisecond, func() {
						setFaults(t, s, platformstub.Faults{})
						takeOver()
					})
				}
				var absent uint64
				var wg sync.WaitGroup
				wg.Go(func() {
					_, err := b.Write(t.Context(), platformclient.Write{Key: "jobs/a", Check: &absent, Fence: fence("a")})
					if tc.code == "" && err != nil || tc.code != "" && (!verdict.HasCode(err, tc.code) || verdict.Of(err) != verdict.NotRun) {
						t.Errorf("write with the fence: %v", err)
					}
				})
				wg.Go(func() {
					if _, err := b.Write(t.Context(), platformclient.Write{Key: "jobs/b", Check: &absent, Fence: fence("b")}); err != nil {
						t.Errorf("write with another fence: %v", err)
					}
				})
				wg.Wait()
				if rows, err := table.List(t.Context(), "jobs/a", "", 10); err != nil || len(rows) != tc.rows {
					t.Errorf("%d rows, error %v", len(rows), err)
				}
			})
		})
	}
}
