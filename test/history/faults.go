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

// gracefulTimeout limits a graceful shutdown.
const gracefulTimeout = 65 * time.Second

// Kill ends a process at once.
func (r *Recorder) Kill(name string) error {
	p := r.Cluster.Process(name)
	f := r.Begin(Kill, name, "")
	f.Seen = p != nil && p.Alive()
	return r.Cluster.Kill(name)
}

// Start starts a process, again if it was ended.
func (r *Recorder) Start(name string) error {
	if p := r.Cluster.Process(name); p != nil && p.Alive() {
		return nil
	}
	if err := r.Cluster.Start(name); err != nil {
		return err
	}
	if f := r.Open(name, Kill, Terminate); f != nil {
		r.End(f, false)
	}
	return nil
}

// Freeze stops a process until Thaw.
func (r *Recorder) Freeze(name string) error {
	f := r.Begin(Freeze, name, "")
	f.Seen = r.Cluster.Process(name) != nil && r.Cluster.Process(name).Alive()
	return r.Cluster.Freeze(name)
}

// Thaw lets a frozen process go on.
func (r *Recorder) Thaw(name string) error {
	if err := r.Cluster.Thaw(name); err != nil {
		return err
	}
	if f := r.Open(name, Freeze); f != nil {
		r.End(f, false)
	}
	return nil
}

// Terminate asks a process to shut down gracefully.
func (r *Recorder) Terminate(name string) error {
	f := r.Begin(Terminate, name, "")
	f.Seen = r.Cluster.Process(name) != nil && r.Cluster.Process(name).Alive()
	return r.Cluster.Terminate(name)
}

// Gone waits for the end of a process that shuts down gracefully.
func (r *Recorder) Gone(name string) error { return r.Cluster.WaitExit(name, gracefulTimeout) }

// Cut cuts the link from a to b, and from b to a unless it is one-way.
func (r *Recorder) Cut(a, b string, oneWay bool) error {
	kind := Cut
	if oneWay {
		kind = CutOneWay
	}
	f := r.Begin(kind, a, b)
	_, err := r.Cluster.SetLink(a, b, true, 0)
	if err == nil && !oneWay {
		_, err = r.Cluster.SetLink(b, a, true, 0)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", f, err)
	}
	return nil
}

// Slow delays what a sends to b.
func (r *Recorder) Slow(a, b string, d time.Duration) error {
	r.Begin(Slow, a, b)
	_, err := r.Cluster.SetLink(a, b, false, d)
	return err
}

// Heal ends all faults of the link between a and b. A process that has ended
// has no rule any more.
func (r *Recorder) Heal(a, b string) error {
	f := r.Open(a, Cut, CutOneWay, Slow)
	if f == nil {
		return fmt.Errorf("the link from %s is not cut", a)
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
	r.End(f, held > 0)
	return firstErr
}

// HealAll ends all faults of links.
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

// Outage sets the faults of the platform until EndOutage.
func (r *Recorder) Outage(ctx context.Context, f platformstub.Faults) error {
	kind := Outage
	switch {
	case f.LoseAnswers > 0:
		kind = Lost
	case f.SlowMS > 0:
		kind = SlowPlatform
	}
	begun := r.Begin(kind, cluster.PlatformName, "")
	begun.Table = f.TableDown || f.SlowMS > 0 || f.LoseAnswers > 0 || f.LateWrites > 0
	return r.Cluster.SetPlatformFaults(f)
}

// EndOutage ends the faults of the platform.
func (r *Recorder) EndOutage(ctx context.Context) error {
	f := r.Open(cluster.PlatformName, Outage, Lost, SlowPlatform)
	if f == nil {
		return fmt.Errorf("there is no outage")
	}
	n, err := r.Cluster.InjectedFaults(ctx)
	r.mu.Lock()
	seen := n > r.injected
	r.injected = n
	r.mu.Unlock()
	err = errors.Join(err, r.Cluster.SetPlatformFaults(platformstub.Faults{}))
	r.End(f, seen)
	return err
}

// FailWorker makes every task on a worker fail, until HealWorker.
func (r *Recorder) FailWorker(name string) error {
	r.Begin(FailAll, name, "")
	return r.Cluster.SetWorkerMode(name, workerstub.Mode{FailAll: true})
}

// HealWorker ends FailWorker. The fault was seen if a task failed meanwhile.
func (r *Recorder) HealWorker(name string) error {
	f := r.Open(name, FailAll)
	if f == nil {
		return fmt.Errorf("%s does not fail", name)
	}
	tasks, err := ReadTasks(name, r.Cluster.HistoryFile(name))
	if err != nil {
		return err
	}
	seen := false
	for _, t := range tasks {
		seen = seen || t.Outcome == "failed" && t.End.After(f.From)
	}
	r.End(f, seen)
	return r.Cluster.SetWorkerMode(name, workerstub.Mode{})
}
