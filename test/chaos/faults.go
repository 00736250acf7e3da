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

// takeoverTimeout limits the wait for a new owner: 3 s expiry, 3 s takeover,
// and time to report that it took longer.
const takeoverTimeout = 15 * time.Second

// fault is an injected fault: what it touches, and how it ends.
type fault struct {
	name    string
	targets []string
	end     func() error
}

// faults injects faults, alone and in pairs, for the duration.
func faults(ctx context.Context, r *history.Recorder, random *rand.Rand, duration time.Duration) error {
	until := time.Now().Add(duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		count := 1 + random.IntN(2)
		busy := map[string]bool{}
		var open []fault
		for range count {
			f, err := inject(ctx, r, random, busy, count == 1)
			if err != nil {
				return err
			}
			if f != nil {
				open = append(open, *f)
			}
		}
		pause(ctx, time.Second+time.Duration(random.Int64N(int64(5500*time.Millisecond))))
		for _, f := range open {
			if err := f.end(); err != nil {
				return fmt.Errorf("end of %s %v: %w", f.name, f.targets, err)
			}
		}
		pause(ctx, time.Duration(random.Int64N(int64(2*time.Second))))
	}
	return ctx.Err()
}

// inject starts a random fault on processes that no other fault touches, or
// returns nil if it chose a busy one.
func inject(ctx context.Context, r *history.Recorder, random *rand.Rand, busy map[string]bool, alone bool) (*fault, error) {
	pick := func(kind string) string {
		names := r.Cluster.ProcessNames(kind)
		return names[random.IntN(len(names))]
	}
	owner, epoch := r.Owner(ctx)
	if owner == "" || random.IntN(3) == 0 {
		owner = pick("entry")
	}
	choices := []func() (fault, func() error){
		func() (fault, func() error) { return killed(ctx, r, owner, epoch, alone) },
		func() (fault, func() error) { return killed(ctx, r, pick("agent"), epoch, false) },
		func() (fault, func() error) { return killed(ctx, r, pick("worker"), epoch, false) },
		func() (fault, func() error) { return frozen(r, owner) },
		func() (fault, func() error) { return frozen(r, pick("agent")) },
		func() (fault, func() error) { return frozen(r, pick("worker")) },
		func() (fault, func() error) { return left(r, owner) },
		func() (fault, func() error) { return left(r, pick("agent")) },
		func() (fault, func() error) { return link(r, random, owner, pick("agent")) },
		func() (fault, func() error) { return link(r, random, pick("agent"), pick("agent")) },
		func() (fault, func() error) { return link(r, random, owner, "platform") },
		func() (fault, func() error) { return link(r, random, owner, pick("entry")) },
		func() (fault, func() error) {
			n := pick("agent")
			return link(r, random, n, "worker"+n[len("agent"):])
		},
		func() (fault, func() error) { return outage(ctx, r, random) },
		func() (fault, func() error) {
			return platformFault(ctx, r, "lost-answers", platformstub.Faults{LoseAnswers: 0.3, Seed: random.Uint64()})
		},
		func() (fault, func() error) {
			n := pick("worker")
			return fault{"worker-fails", []string{n}, func() error { return r.HealWorker(n) }}, func() error { return r.FailWorker(n) }
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

func killed(ctx context.Context, r *history.Recorder, name string, epoch uint32, measure bool) (fault, func() error) {
	taken := make(chan error, 1)
	taken <- nil
	end := func() error { return errors.Join(<-taken, r.Start(name)) }
	return fault{"kill", []string{name}, end}, func() error {
		owner, _ := r.Owner(ctx)
		from := time.Now()
		if err := r.Kill(name); err != nil || !measure || owner != name {
			return err
		}
		<-taken
		go func() {
			ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
			defer cancel()
			_, err := r.WaitForTakeover(ctx, from, epoch)
			taken <- err
		}()
		return nil
	}
}

func frozen(r *history.Recorder, name string) (fault, func() error) {
	return fault{"freeze", []string{name}, func() error { return r.Thaw(name) }}, func() error { return r.Freeze(name) }
}

func left(r *history.Recorder, name string) (fault, func() error) {
	end := func() error { return errors.Join(r.WaitExit(name), r.Start(name)) }
	return fault{"terminate", []string{name}, end}, func() error { return r.Terminate(name) }
}

func link(r *history.Recorder, random *rand.Rand, a, b string) (fault, func() error) {
	end := func() error { return r.Heal(a, b) }
	if random.IntN(4) == 0 {
		return fault{"slow", []string{a, b}, end}, func() error { return r.Slow(a, b, 300*time.Millisecond) }
	}
	oneWay := random.IntN(2) == 0
	if oneWay && random.IntN(2) == 0 && b != "platform" {
		a, b = b, a
	}
	return fault{map[bool]string{true: "cut-one-way", false: "cut"}[oneWay], []string{a, b}, end}, func() error { return r.Cut(a, b, oneWay) }
}

func outage(ctx context.Context, r *history.Recorder, random *rand.Rand) (fault, func() error) {
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

func platformFault(ctx context.Context, r *history.Recorder, name string, f platformstub.Faults) (fault, func() error) {
	return fault{name, []string{"platform"}, func() error { return r.EndOutage(ctx) }}, func() error { return r.Outage(ctx, f) }
}
