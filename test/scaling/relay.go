package main

import (
	"context"
	"fmt"
	"time"
)

// A domain of the design size: an owner and two further entries, which relay.
const (
	relayWorkers   = 126
	relayEntries   = 3
	relayThreshold = 1 // relays in domains of every size
	// relaySettle lets every entry read the rows of the others twice, after which
	// the agents are spread.
	relaySettle = 12 * time.Second
)

// relaySlopes measures idle processes against the number of workers, with
// relays at every size. The rows domain.* are the same without relays.
func (b *bench) relaySlopes(ctx context.Context) error {
	sizes := []int{11, 42, 84, relayWorkers}
	if b.short {
		sizes = []int{5, 11, 16, 21}
	}
	s := newSeries("relay", "workers")
	for _, n := range sizes {
		r, err := startRig(ctx, b.bin, b.out, rigOptions{
			name: fmt.Sprintf("relay%d", n), workers: n, accelerators: 1, entries: relayEntries, accounts: domainAccounts, relayThreshold: relayThreshold,
		})
		if err != nil {
			return err
		}
		time.Sleep(relaySettle)
		err = r.measureRoles(ctx, s, float64(n), b.window())
		r.stop()
		if err != nil {
			return err
		}
	}
	s.print(b.report)
	return nil
}

// relayBudget measures a domain of the design size, with all its tasks, against
// the control budget of a daemon: without and with relays, at rest and while the
// manifest changes.
func (b *bench) relayBudget(ctx context.Context) error {
	for _, o := range []struct {
		name      string
		threshold int
	}{{"off", 0}, {"on", 60}} {
		if err := b.relayBudgetAt(ctx, "relay."+o.name, o.threshold); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) relayBudgetAt(ctx context.Context, name string, threshold int) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{
		name: name, workers: relayWorkers, accelerators: 1, entries: relayEntries, accounts: domainAccounts, relayThreshold: threshold,
	})
	if err != nil {
		return err
	}
	defer r.stop()
	if err := r.fill(ctx, kindCPU, relayWorkers*budgetTasks, nil, false); err != nil {
		return err
	}
	time.Sleep(relaySettle)
	if err := b.relayFigures(ctx, r, name+".idle"); err != nil {
		return err
	}
	applied, err := r.changing(ctx, changesPerSecond, func() error { return b.relayFigures(ctx, r, name+".changes") })
	if err != nil {
		return err
	}
	late, err := r.inForce(applied)
	if err != nil {
		return err
	}
	b.report.figure(name+".manifest.changes", "changes", float64(len(applied)), 0)
	b.report.figure(name+".manifest.in-force", "s", late.Seconds(), inForceSeconds)
	return nil
}

// relayFigures prints the owner, the further entry that uses most of each
// quantity, and the mean of the agents, over a minute.
func (b *bench) relayFigures(ctx context.Context, r *rig, name string) error {
	owner, entries, agents, err := r.roles(ctx)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return fmt.Errorf("%s: no further entry is alive", name)
	}
	window := budgetWindow
	if b.short {
		window = 10 * time.Second
	}
	used, err := r.measure(ctx, append(append([]string{owner}, entries...), agents...), window)
	if err != nil {
		return err
	}
	b.budgetFigures(name+".owner", used[owner])
	b.budgetFigures(name+".entry", highest(used, entries))
	b.budgetFigures(name+".agent", mean(used, agents))
	return nil
}

// highest returns the highest of each quantity among the processes.
func highest(used map[string]usage, names []string) usage {
	var h usage
	for _, name := range names {
		u := used[name]
		h.CPU, h.MB = max(h.CPU, u.CPU), max(h.MB, u.MB)
		h.RPCBytes, h.IOBytes = max(h.RPCBytes, u.RPCBytes), max(h.IOBytes, u.IOBytes)
		h.Calls, h.Reads, h.Writes = max(h.Calls, u.Calls), max(h.Reads, u.Reads), max(h.Writes, u.Writes)
	}
	return h
}
