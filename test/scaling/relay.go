package main

import (
	"context"
	"fmt"
	"time"
)

// A domain of the design size, with an owner and two other entries that relay heartbeats.
const (
	relayWorkers         = 126
	relayEntries         = 3
	alwaysRelayThreshold = 1 // turns relays on in domains of every size
	// relaySettleTime is long enough for every entry to read the rows of the others
	// twice. After that the agents are spread over the relays.
	relaySettleTime = 12 * time.Second
)

// domainSizeWithRelays measures idle processes against the number of workers, with relays
// at every size. The measurement domain does the same without relays.
func (b *benchmark) domainSizeWithRelays(ctx context.Context) error {
	sizes := []int{11, 42, 84, relayWorkers}
	if b.short {
		sizes = []int{5, 11, 16, 21}
	}
	s := newSeries("relay", "workers")
	for _, n := range sizes {
		dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{
			name: fmt.Sprintf("relay%d", n), workers: n, accelerators: 1, entries: relayEntries, accounts: domainAccounts, relayThreshold: alwaysRelayThreshold,
		})
		if err != nil {
			return err
		}
		time.Sleep(relaySettleTime)
		err = dep.measureRoles(ctx, s, float64(n), b.window())
		dep.stop()
		if err != nil {
			return err
		}
	}
	s.printSlopes(b.report)
	return nil
}

// relayBudget measures the daemons of a domain of the design size, with all its tasks,
// against the control budget: without and with relays, and in each case without and with
// manifest changes.
func (b *benchmark) relayBudget(ctx context.Context) error {
	for _, o := range []struct {
		name      string
		threshold int
	}{{"off", 0}, {"on", 60}} {
		if err := b.relayBudgetWith(ctx, "relay."+o.name, o.threshold); err != nil {
			return err
		}
	}
	return nil
}

// relayBudgetWith measures with the given relay threshold, where 0 means no relays.
func (b *benchmark) relayBudgetWith(ctx context.Context, name string, threshold int) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{
		name: name, workers: relayWorkers, accelerators: 1, entries: relayEntries, accounts: domainAccounts, relayThreshold: threshold,
	})
	if err != nil {
		return err
	}
	defer dep.stop()
	if err := dep.submitLongJobs(ctx, kindCPU, relayWorkers*budgetTasks, nil, false); err != nil {
		return err
	}
	time.Sleep(relaySettleTime)
	if err := b.printRelayUsage(ctx, dep, name+".idle"); err != nil {
		return err
	}
	applied, err := dep.whileChanging(ctx, changesPerSecond, func() error { return b.printRelayUsage(ctx, dep, name+".changes") })
	if err != nil {
		return err
	}
	late, err := dep.slowestInForce(applied)
	if err != nil {
		return err
	}
	b.report.printValue(name+".manifest.changes", "changes", float64(len(applied)), 0)
	b.report.printValue(name+".manifest.in-force", "s", late.Seconds(), maxInForceSeconds)
	return nil
}

// printRelayUsage measures for a minute (less with -short) and prints the owner, the highest
// value of each quantity among the other entries, and the mean of the agents.
func (b *benchmark) printRelayUsage(ctx context.Context, dep *deployment, name string) error {
	owner, entries, agents, err := dep.roles(ctx)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return fmt.Errorf("%s: no entry other than the owner is running", name)
	}
	window := budgetWindow
	if b.short {
		window = 10 * time.Second
	}
	used, err := dep.measure(ctx, append(append([]string{owner}, entries...), agents...), window)
	if err != nil {
		return err
	}
	b.printBudgetUsage(name+".owner", used[owner])
	b.printBudgetUsage(name+".entry", highestUsage(used, entries))
	b.printBudgetUsage(name+".agent", meanUsage(used, agents))
	return nil
}

// highestUsage returns the highest value of each quantity among the processes.
func highestUsage(used map[string]usage, names []string) usage {
	var h usage
	for _, name := range names {
		u := used[name]
		h.CPU, h.MB = max(h.CPU, u.CPU), max(h.MB, u.MB)
		h.RPCBytes, h.IOBytes = max(h.RPCBytes, u.RPCBytes), max(h.IOBytes, u.IOBytes)
		h.Calls, h.Reads, h.Writes = max(h.Calls, u.Calls), max(h.Reads, u.Reads), max(h.Writes, u.Writes)
	}
	return h
}
