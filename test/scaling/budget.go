package main

import (
	"context"
	"time"
)

// The control budget of a daemon at the design size.
const (
	budgetCPU    = 2.7  // percent of a core
	budgetMB     = 256  // resident memory
	budgetBytes  = 6000 // control bytes a second
	budgetWindow = 60 * time.Second
	// changesPerSecond are 12,000 changes a day.
	changesPerSecond = 12000. / 86400
	inForceSeconds   = 3
	budgetWorkers    = 42
	budgetTasks      = 15
)

// budget checks one entry that owns a domain of 42 workers with 15 tasks each,
// and its agents, against the control budget, while the manifest changes.
func (b *bench) budget(ctx context.Context) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "budget", workers: budgetWorkers, accelerators: 1, entries: 1, accounts: domainAccounts})
	if err != nil {
		return err
	}
	defer r.stop()
	if err := r.fill(ctx, kindCPU, budgetWorkers*budgetTasks, nil, false); err != nil {
		return err
	}
	b.settle()
	window := budgetWindow
	if b.short {
		window = 20 * time.Second
	}
	s := newSeries("budget", "")
	applied, err := r.changing(ctx, changesPerSecond, func() error {
		owner, _, agents, err := r.roles(ctx)
		if err != nil {
			return err
		}
		used, err := r.measure(ctx, append([]string{owner}, agents...), window)
		if err != nil {
			return err
		}
		s.put("entry", used[owner])
		s.put("agent", mean(used, agents))
		s.put("agent-worst", highest(used, agents))
		return nil
	})
	if err != nil {
		return err
	}
	late, err := r.inForce(applied)
	if err != nil {
		return err
	}
	for _, role := range s.order {
		b.budgetFigures("budget."+role, s.roles[role][0])
	}
	b.report.figure("budget.manifest.changes", "changes", float64(len(applied)), 0)
	b.report.figure("budget.manifest.in-force", "s", late.Seconds(), inForceSeconds)
	return nil
}

// budgetFigures prints the usage of a process with the limits of the budget.
func (b *bench) budgetFigures(name string, u usage) {
	b.report.figure(name+".cpu", "%core", u.CPU, budgetCPU)
	b.report.figure(name+".rss", "MB", u.MB, budgetMB)
	b.report.figure(name+".rpc", "B/s", u.RPCBytes, budgetBytes)
	b.report.figure(name+".io", "B/s", u.IOBytes, 0)
	b.report.figure(name+".calls", "1/s", u.Calls, 0)
	b.report.figure(name+".reads", "1/s", u.Reads, 0)
	b.report.figure(name+".writes", "1/s", u.Writes, 0)
}
