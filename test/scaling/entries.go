package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// otherRenewal is how often the rows of entries elsewhere are renewed, as
// membership.DefaultEntryInterval.
const otherRenewal = 5 * time.Second

// entryRows measures against the number of entries on one platform, of which at
// most 12 are in the region. Those beyond the two here are rows only, renewed as
// their processes would.
func (b *bench) entryRows(ctx context.Context) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "entries", workers: 11, accelerators: 1, entries: 2, accounts: 8})
	if err != nil {
		return err
	}
	defer r.stop()
	table := platformclient.NewClient(platformclient.Options{URL: r.URL(cluster.PlatformName)})
	defer table.Close()
	s := newSeries("entries", "entries")
	for _, n := range []int{2, 27, 54, 81} {
		load, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- renewOthers(load, table, n-r.entries) }()
		time.Sleep(otherRenewal + time.Second) // each entry has read the new list
		err := r.measureRoles(ctx, s, float64(n), 2*otherRenewal)
		stop()
		if renewErr := <-done; err == nil {
			err = renewErr
		}
		if err != nil {
			return err
		}
	}
	s.print(b.report)
	return nil
}

// regionEntries is the number of entries in a region at the design size, and
// that of the deployment.
const regionEntries = 12

// regionOf returns the region of the further entry i. The first ones are in the
// region of the deployment.
func regionOf(i int) string { return fmt.Sprintf("r%d", 1+(i+2)/regionEntries) }

// renewOthers keeps the rows of n entries until ctx ends.
func renewOthers(ctx context.Context, table platformclient.Table, n int) error {
	tick := time.NewTicker(otherRenewal)
	defer tick.Stop()
	for renewal := uint64(1); ; renewal++ {
		var txn platformclient.Txn
		for i := range n {
			e := structs.EntryInfo{
				ID: fmt.Sprintf("other%d", i+1), RPCAddr: fmt.Sprintf("127.0.3.%d:7100", i+1), HTTPAddr: fmt.Sprintf("127.0.3.%d:7101", i+1),
				Zone: "z2", Domains: []string{"d2"}, Renewal: renewal + uint64(time.Now().UnixNano()),
			}
			value, err := json.Marshal(e)
			if err != nil {
				return err
			}
			txn.Puts = append(txn.Puts, platformclient.Put{Key: fmt.Sprintf("entries/%s/%s", regionOf(i), e.ID), Value: value})
		}
		if n > 0 {
			if _, err := table.Commit(context.WithoutCancel(ctx), txn); err != nil {
				return err
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}
