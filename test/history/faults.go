package history

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// gracefulExitTimeout limits the wait for a graceful shutdown.
const gracefulExitTimeout = 65 * time.Second

// Kill kills a process with SIGKILL.
func (r *Recorder) Kill(name string) error {
	p := r.Cluster.Process(name)
	f := r.BeginFault(Kill, name, "")
	f.TookEffect = p != nil && p.Alive()
	return r.Cluster.Kill(name)
}

// Start starts a process unless it runs, and ends the fault that stopped it.
func (r *Recorder) Start(name string) error {
	if p := r.Cluster.Process(name); p != nil && p.Alive() {
		return nil
	}
	if err := r.Cluster.Start(name); err != nil {
		return err
	}
	if f := r.ActiveFault(name, Kill, Terminate); f != nil {
		r.EndFault(f, false)
	}
	return nil
}

// Freeze suspends a process until Thaw is called.
func (r *Recorder) Freeze(name string) error {
	f := r.BeginFault(Freeze, name, "")
	f.TookEffect = r.Cluster.Process(name) != nil && r.Cluster.Process(name).Alive()
	return r.Cluster.Freeze(name)
}

// Thaw resumes a frozen process.
func (r *Recorder) Thaw(name string) error {
	if err := r.Cluster.Thaw(name); err != nil {
		return err
	}
	if f := r.ActiveFault(name, Freeze); f != nil {
		r.EndFault(f, false)
	}
	return nil
}

// Terminate asks a process to shut down gracefully.
func (r *Recorder) Terminate(name string) error {
	f := r.BeginFault(Terminate, name, "")
	f.TookEffect = r.Cluster.Process(name) != nil && r.Cluster.Process(name).Alive()
	return r.Cluster.Terminate(name)
}

// WaitExit waits until a process that shuts down gracefully has exited.
func (r *Recorder) WaitExit(name string) error { return r.Cluster.WaitExit(name, gracefulExitTimeout) }

// Cut blocks what a sends to b and, unless oneWay is set, what b sends to a.
func (r *Recorder) Cut(a, b string, oneWay bool) error {
	kind := Cut
	if oneWay {
		kind = CutOneWay
	}
	f := r.BeginFault(kind, a, b)
	_, err := r.Cluster.SetLink(a, b, true, 0)
	if err == nil && !oneWay {
		_, err = r.Cluster.SetLink(b, a, true, 0)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", f, err)
	}
	return nil
}

// Slow delays what a sends to b by d.
func (r *Recorder) Slow(a, b string, d time.Duration) error {
	r.BeginFault(Slow, a, b)
	_, err := r.Cluster.SetLink(a, b, false, d)
	return err
}

// Heal removes the cut or delay of the link between a and b. A process that has exited
// is skipped, since its rules ended with it.
func (r *Recorder) Heal(a, b string) error {
	f := r.ActiveFault(a, Cut, CutOneWay, Slow)
	if f == nil {
		return fmt.Errorf("the link from %s has no active fault", a)
	}
	var held int64
	var firstErr error
	for _, link := range [][2]string{{a, b}, {b, a}} {
		if p := r.Cluster.Process(link[0]); p == nil || !p.Alive() {
			continue
		}
		n, err := r.Cluster.SetLink(link[0], link[1], false, 0)
		held += n
		if firstErr == nil {
			firstErr = err
		}
	}
	r.EndFault(f, held > 0)
	return firstErr
}

// HealAll removes the cuts and delays of all links.
func (r *Recorder) HealAll() error {
	r.mu.Lock()
	var links [][2]string
	for _, f := range r.run.Faults {
		if f.Peer != "" && f.To.IsZero() {
			links = append(links, [2]string{f.Target, f.Peer})
		}
	}
	r.mu.Unlock()
	var errs []error
	for _, l := range links {
		errs = append(errs, r.Heal(l[0], l[1]))
	}
	return errors.Join(errs...)
}

// Outage sets faults of the platform, which last until EndOutage.
func (r *Recorder) Outage(ctx context.Context, f platformstub.Faults) error {
	kind := Outage
	switch {
	case f.LoseAnswers > 0:
		kind = LostAnswers
	case f.SlowMS > 0:
		kind = SlowPlatform
	}
	fault := r.BeginFault(kind, cluster.PlatformName, "")
	fault.AffectsTable = f.TableDown || f.SlowMS > 0 || f.LoseAnswers > 0 || f.LateWrites > 0
	return r.Cluster.SetPlatformFaults(f)
}

// EndOutage ends the faults of the platform.
func (r *Recorder) EndOutage(ctx context.Context) error {
	f := r.ActiveFault(cluster.PlatformName, Outage, LostAnswers, SlowPlatform)
	if f == nil {
		return fmt.Errorf("the platform has no active fault")
	}
	n, err := r.Cluster.InjectedFaults(ctx)
	r.mu.Lock()
	tookEffect := n > r.injectedFaults
	r.injectedFaults = n
	r.mu.Unlock()
	err = errors.Join(err, r.Cluster.SetPlatformFaults(platformstub.Faults{}))
	r.EndFault(f, tookEffect)
	return err
}

// FailWorker makes every task on a worker fail until HealWorker is called.
func (r *Recorder) FailWorker(name string) error {
	r.BeginFault(FailAll, name, "")
	return r.Cluster.SetWorkerMode(name, workerstub.Mode{FailAll: true})
}

// HealWorker ends the fault of FailWorker, which took effect if a task failed during it.
func (r *Recorder) HealWorker(name string) error {
	f := r.ActiveFault(name, FailAll)
	if f == nil {
		return fmt.Errorf("%s has no active fault", name)
	}
	tasks, err := ReadTasks(name, r.Cluster.HistoryFile(name))
	if err != nil {
		return err
	}
	tookEffect := false
	for _, t := range tasks {
		tookEffect = tookEffect || t.Outcome == "failed" && t.End.After(f.From)
	}
	r.EndFault(f, tookEffect)
	return r.Cluster.SetWorkerMode(name, workerstub.Mode{})
}
