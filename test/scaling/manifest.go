package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// manifestSlopes measures against the size of the manifest, with a change a
// second, and against changes a second.
func (b *bench) manifestSlopes(ctx context.Context) error {
	size := newSeries("manifest.size", "KB")
	for _, accounts := range []int{4, 57, 200, 500} {
		r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "manifest", workers: 11, accelerators: 4, entries: 3, accounts: accounts})
		if err != nil {
			return err
		}
		document, err := json.Marshal(r.manifest)
		if err == nil {
			b.settle()
			_, err = r.changing(ctx, 1, func() error { return r.measureRoles(ctx, size, float64(len(document))/1000, b.window()) })
		}
		r.stop()
		if err != nil {
			return err
		}
	}
	size.print(b.report)
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "changes", workers: 42, accelerators: 1, entries: 3, accounts: domainAccounts})
	if err != nil {
		return err
	}
	defer r.stop()
	b.settle()
	changes := newSeries("manifest.changes", "1/s")
	var slowest []float64
	for _, perSecond := range []float64{0, 0.5, 1, 2} {
		applied, err := r.changing(ctx, perSecond, func() error { return r.measureRoles(ctx, changes, perSecond, b.window()) })
		if err != nil {
			return err
		}
		late, err := r.inForce(applied)
		if err != nil {
			return err
		}
		slowest = append(slowest, late.Seconds())
	}
	changes.print(b.report)
	b.report.add("manifest.in-force", changes.x, "s", changes.xs, slowest)
	return nil
}

// changing changes the weight of one account in turn, at a rate, while f runs.
// The owner accepts all changes: with an entry that the client chooses, the rows
// of several points would belong to different entries. It returns when each
// version was handed over.
func (r *rig) changing(ctx context.Context, perSecond float64, f func() error) (map[uint64]time.Time, error) {
	applied := map[uint64]time.Time{}
	owner, _, _, err := r.roles(ctx)
	if err != nil {
		return nil, err
	}
	client, err := apiclient.New(apiclient.Options{Entries: []string{r.URL(owner)}})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	load, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- r.change(load, client, perSecond, applied) }()
	err = f()
	stop()
	if changeErr := <-done; err == nil {
		err = changeErr
	}
	return applied, err
}

func (r *rig) change(ctx context.Context, client *apiclient.Client, perSecond float64, applied map[uint64]time.Time) error {
	if perSecond == 0 {
		<-ctx.Done()
		return nil
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		account := &r.manifest.Accounts[n%len(r.manifest.Accounts)]
		account.Weight = 3 - account.Weight // 1 and 2 in turn
		start := time.Now()
		if err := r.applyAt(context.WithoutCancel(ctx), client); err != nil {
			return err
		}
		applied[r.manifest.Parent] = start
		select {
		case <-ctx.Done():
			// The last change reaches all processes before the logs are read.
			time.Sleep(3 * time.Second)
			return nil
		case <-tick.C:
		}
	}
}

// inForceLine is the log line of a daemon that has a new manifest.
var inForceLine = regexp.MustCompile(`^I(\d{4} [\d:.]+) .*"manifest in force" (?:manifestVersion|version)=(\d+)`)

// inForce returns the longest time after the hand-over of a version until a
// process had it or a later one in force, from the logs of all daemons.
func (r *rig) inForce(applied map[uint64]time.Time) (time.Duration, error) {
	var names []string
	for i := range r.entries {
		names = append(names, cluster.EntryName(i+1))
	}
	for i := range r.workers {
		names = append(names, cluster.AgentName(i+1))
	}
	var slowest time.Duration
	for _, name := range names {
		seen, err := r.versions(name)
		if err != nil {
			return 0, err
		}
		for version, start := range applied {
			reached := time.Time{}
			for v, at := range seen {
				if v >= version && (reached.IsZero() || at.Before(reached)) {
					reached = at
				}
			}
			if reached.IsZero() {
				return 0, fmt.Errorf("%s never had manifest version %d in force", name, version)
			}
			slowest = max(slowest, reached.Sub(start))
		}
	}
	return slowest, nil
}

// versions returns when each manifest version came into force at a process.
func (r *rig) versions(name string) (map[uint64]time.Time, error) {
	f, err := os.Open(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	seen := map[uint64]time.Time{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		m := inForceLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		at, err := time.ParseInLocation("2006 0102 15:04:05.000000", strconv.Itoa(time.Now().Year())+" "+m[1], time.Local)
		if err != nil {
			return nil, err
		}
		version, err := strconv.ParseUint(m[2], 10, 64)
		if err != nil {
			return nil, err
		}
		if _, ok := seen[version]; !ok {
			seen[version] = at
		}
	}
	return seen, nil
}
