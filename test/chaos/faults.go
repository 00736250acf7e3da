package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/test/history"
)

// takeoverTimeout limits the wait for a new owner. The row expires after 3 s and the
// takeover may last 3 s; the rest is for measuring a takeover that exceeds its bound.
const takeoverTimeout = 15 * time.Second

// activeFault is an injected fault: the processes that it affects, and how to end it.
type activeFault struct {
	name    string
	targets []string
	stop    func() error
}

// injectFaults injects random faults for the duration, one or two at a time. Each lasts
// 1 s to 6.5 s.
func injectFaults(ctx context.Context, r *history.Recorder, random *rand.Rand, duration time.Duration) error {
	until := time.Now().Add(duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		count := 1 + random.IntN(2)
		busy := map[string]bool{}
		var open []activeFault
		for range count {
			f, err := startRandomFault(ctx, r, random, busy, count == 1)
			if err != nil {
				return err
			}
			if f != nil {
				open = append(open, *f)
			}
		}
		sleepContext(ctx, time.Second+time.Duration(random.Int64N(int64(5500*time.Millisecond))))
		for _, f := range open {
			if err := f.stop(); err != nil {
				return fmt.Errorf("end fault %s %v: %w", f.name, f.targets, err)
			}
		}
		sleepContext(ctx, time.Duration(random.Int64N(int64(2*time.Second))))
	}
	return ctx.Err()
}

// startRandomFault starts a random fault, or returns nil if it affects a process in
// busy, which lists the processes of the other active faults. alone says that no other
// fault is injected at the same time.
func startRandomFault(ctx context.Context, r *history.Recorder, random *rand.Rand, busy map[string]bool, alone bool) (*activeFault, error) {
	pick := func(kind string) string {
		names := r.Cluster.ProcessNames(kind)
		return names[random.IntN(len(names))]
	}
	owner, epoch := r.Owner(ctx)
	if owner == "" || random.IntN(3) == 0 {
		owner = pick("entry")
	}
	choices := []func() (activeFault, func() error){
		func() (activeFault, func() error) { return killFault(ctx, r, owner, epoch, alone) },
		func() (activeFault, func() error) { return killFault(ctx, r, pick("agent"), epoch, false) },
		func() (activeFault, func() error) { return killFault(ctx, r, pick("worker"), epoch, false) },
		func() (activeFault, func() error) { return freezeFault(r, owner) },
		func() (activeFault, func() error) { return freezeFault(r, pick("agent")) },
		func() (activeFault, func() error) { return freezeFault(r, pick("worker")) },
		func() (activeFault, func() error) { return terminateFault(r, owner) },
		func() (activeFault, func() error) { return terminateFault(r, pick("agent")) },
		func() (activeFault, func() error) { return linkFault(r, random, owner, pick("agent")) },
		func() (activeFault, func() error) { return linkFault(r, random, pick("agent"), pick("agent")) },
		func() (activeFault, func() error) { return linkFault(r, random, owner, "platform") },
		func() (activeFault, func() error) { return linkFault(r, random, owner, pick("entry")) },
		func() (activeFault, func() error) {
			n := pick("agent")
			return linkFault(r, random, n, "worker"+n[len("agent"):])
		},
		func() (activeFault, func() error) { return outageFault(ctx, r, random) },
		func() (activeFault, func() error) {
			return platformFault(ctx, r, "lost-answers", platformstub.Faults{LoseAnswers: 0.3, Seed: random.Uint64()})
		},
		func() (activeFault, func() error) {
			n := pick("worker")
			return activeFault{"worker-fails", []string{n}, func() error { return r.HealWorker(n) }}, func() error { return r.FailWorker(n) }
		},
	}
	f, begin := choices[random.IntN(len(choices))]()
	for i, t := range f.targets {
		if busy[t] || i > 0 && t == f.targets[0] {
			return nil, nil
		}
	}
	for _, t := range f.targets {
		busy[t] = true
	}
	fmt.Printf("  %s %s %v\n", time.Now().Format("05.000"), f.name, f.targets)
	return &f, begin()
}

// The functions below return a fault and the function that starts it.

// killFault kills a process and starts it again. With measure set, it also waits for and
// records the takeover if the process owned the domain.
func killFault(ctx context.Context, r *history.Recorder, name string, epoch uint32, measure bool) (activeFault, func() error) {
	// takeover holds the outcome of the takeover, or nil if none is measured. While a
	// takeover is measured it is empty, so that end waits for its outcome.
	takeover := make(chan error, 1)
	takeover <- nil
	end := func() error { return errors.Join(<-takeover, r.Start(name)) }
	return activeFault{"kill", []string{name}, end}, func() error {
		owner, _ := r.Owner(ctx)
		from := time.Now()
		if err := r.Kill(name); err != nil || !measure || owner != name {
			return err
		}
		<-takeover
		go func() {
			ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
			defer cancel()
			_, err := r.WaitForTakeover(ctx, from, epoch)
			takeover <- err
		}()
		return nil
	}
}

// freezeFault suspends a process.
func freezeFault(r *history.Recorder, name string) (activeFault, func() error) {
	return activeFault{"freeze", []string{name}, func() error { return r.Thaw(name) }}, func() error { return r.Freeze(name) }
}

// terminateFault shuts a process down gracefully and starts it again.
func terminateFault(r *history.Recorder, name string) (activeFault, func() error) {
	end := func() error { return errors.Join(r.WaitExit(name), r.Start(name)) }
	return activeFault{"terminate", []string{name}, end}, func() error { return r.Terminate(name) }
}

// linkFault slows the link between two processes, or cuts it in one direction or both.
func linkFault(r *history.Recorder, random *rand.Rand, a, b string) (activeFault, func() error) {
	end := func() error { return r.Heal(a, b) }
	if random.IntN(4) == 0 {
		return activeFault{"slow", []string{a, b}, end}, func() error { return r.Slow(a, b, 300*time.Millisecond) }
	}
	oneWay := random.IntN(2) == 0
	if oneWay && random.IntN(2) == 0 && b != "platform" {
		a, b = b, a
	}
	return activeFault{map[bool]string{true: "cut-one-way", false: "cut"}[oneWay], []string{a, b}, end}, func() error { return r.Cut(a, b, oneWay) }
}

// outageFault makes the table, the store or both unavailable, or slows the platform.
func outageFault(ctx context.Context, r *history.Recorder, random *rand.Rand) (activeFault, func() error) {
	modes := []string{platformstub.OutageRefuse, platformstub.OutageReset, platformstub.OutageHang}
	f := platformstub.Faults{Outage: modes[random.IntN(3)], TableDown: true, StoreDown: true}
	switch random.IntN(4) {
	case 0:
		f.TableDown = false
	case 1:
		f.StoreDown = false
	case 2:
		f = platformstub.Faults{SlowMS: 400}
	}
	return platformFault(ctx, r, "outage", f)
}

// platformFault sets faults of the platform.
func platformFault(ctx context.Context, r *history.Recorder, name string, f platformstub.Faults) (activeFault, func() error) {
	return activeFault{name, []string{"platform"}, func() error { return r.EndOutage(ctx) }}, func() error { return r.Outage(ctx, f) }
}
