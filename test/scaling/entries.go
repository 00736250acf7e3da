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

// entryRenewalInterval is the interval at which the rows of simulated entries are
// renewed. It equals membership.DefaultEntryRenewInterval.
const entryRenewalInterval = 5 * time.Second

// entryRows measures against the number of entries of one platform, of which at most 12
// are in the region. Two are real processes; the others are only rows in the table,
// which are renewed as their processes would renew them.
func (b *benchmark) entryRows(ctx context.Context) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "entries", workers: 11, accelerators: 1, entries: 2, accounts: 8})
	if err != nil {
		return err
	}
	defer dep.stop()
	table := platformclient.NewClient(platformclient.Options{URL: dep.URL(cluster.PlatformName)})
	defer table.Close()
	s := newSeries("entries", "entries")
	for _, n := range []int{2, 27, 54, 81} {
		load, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- renewEntryRows(load, table, n-dep.entries) }()
		time.Sleep(entryRenewalInterval + time.Second) // until each entry has read the new list
		err := dep.measureRoles(ctx, s, float64(n), 2*entryRenewalInterval)
		stop()
		if renewErr := <-done; err == nil {
			err = renewErr
		}
		if err != nil {
			return err
		}
	}
	s.printSlopes(b.report)
	return nil
}

// regionEntries is the number of entries in each region at the design size, including
// the region of the deployment.
const regionEntries = 12

// regionOf returns the region of simulated entry i, from 0. The first ones are in r1, the
// region of the two real entries.
func regionOf(i int) string { return fmt.Sprintf("r%d", 1+(i+2)/regionEntries) }

// renewEntryRows writes and renews the rows of n simulated entries until ctx ends.
func renewEntryRows(ctx context.Context, table platformclient.Table, n int) error {
	tick := time.NewTicker(entryRenewalInterval)
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
