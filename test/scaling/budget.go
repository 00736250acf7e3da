package main

import (
	"context"
	"time"
)

// The control budget of a daemon at the design size, and the load under which it is
// measured.
const (
	budgetCPU            = 2.7  // percent of a core
	budgetMB             = 256  // resident memory, in 10^6 bytes
	budgetBytesPerSecond = 6000 // control traffic
	budgetWindow         = 60 * time.Second
	// changesPerSecond is the rate of manifest changes: 12,000 a day.
	changesPerSecond  = 12000. / 86400
	maxInForceSeconds = 3
	budgetWorkers     = 42
	budgetTasks       = 15 // per worker
)

// controlBudget measures, while the manifest changes, an entry that owns a domain of 42
// workers with 15 tasks each, and the agents, against the control budget.
func (b *benchmark) controlBudget(ctx context.Context) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "budget", workers: budgetWorkers, accelerators: 1, entries: 1, accounts: domainAccounts})
	if err != nil {
		return err
	}
	defer dep.stop()
	if err := dep.submitLongJobs(ctx, kindCPU, budgetWorkers*budgetTasks, nil, false); err != nil {
		return err
	}
	b.settle()
	window := budgetWindow
	if b.short {
		window = 20 * time.Second
	}
	s := newSeries("budget", "")
	applied, err := dep.whileChanging(ctx, changesPerSecond, func() error {
		owner, _, agents, err := dep.roles(ctx)
		if err != nil {
			return err
		}
		used, err := dep.measure(ctx, append([]string{owner}, agents...), window)
		if err != nil {
			return err
		}
		s.add("entry", used[owner])
		s.add("agent", meanUsage(used, agents))
		s.add("agent-worst", highestUsage(used, agents))
		return nil
	})
	if err != nil {
		return err
	}
	late, err := dep.slowestInForce(applied)
	if err != nil {
		return err
	}
	for _, role := range s.order {
		b.printBudgetUsage("budget."+role, s.roles[role][0])
	}
	b.report.printValue("budget.manifest.changes", "changes", float64(len(applied)), 0)
	b.report.printValue("budget.manifest.in-force", "s", late.Seconds(), maxInForceSeconds)
	return nil
}

// printBudgetUsage prints the usage of a process beside the limits of the control budget.
func (b *benchmark) printBudgetUsage(name string, u usage) {
	b.report.printValue(name+".cpu", "%core", u.CPU, budgetCPU)
	b.report.printValue(name+".rss", "MB", u.MB, budgetMB)
	b.report.printValue(name+".rpc", "B/s", u.RPCBytes, budgetBytesPerSecond)
	b.report.printValue(name+".io", "B/s", u.IOBytes, 0)
	b.report.printValue(name+".calls", "1/s", u.Calls, 0)
	b.report.printValue(name+".reads", "1/s", u.Reads, 0)
	b.report.printValue(name+".writes", "1/s", u.Writes, 0)
}
