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

// manifestSizeAndRate measures against the size of the manifest, with one change per
// second, and against the number of changes per second.
func (b *benchmark) manifestSizeAndRate(ctx context.Context) error {
	size := newSeries("manifest.size", "KB")
	for _, accounts := range []int{4, 57, 200, 500} {
		dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "manifest", workers: 11, accelerators: 4, entries: 3, accounts: accounts})
		if err != nil {
			return err
		}
		document, err := json.Marshal(dep.manifest)
		if err == nil {
			b.settle()
			_, err = dep.whileChanging(ctx, 1, func() error { return dep.measureRoles(ctx, size, float64(len(document))/1000, b.window()) })
		}
		dep.stop()
		if err != nil {
			return err
		}
	}
	size.printSlopes(b.report)
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "changes", workers: 42, accelerators: 1, entries: 3, accounts: domainAccounts})
	if err != nil {
		return err
	}
	defer dep.stop()
	b.settle()
	changes := newSeries("manifest.changes", "1/s")
	var slowest []float64
	for _, perSecond := range []float64{0, 0.5, 1, 2} {
		applied, err := dep.whileChanging(ctx, perSecond, func() error { return dep.measureRoles(ctx, changes, perSecond, b.window()) })
		if err != nil {
			return err
		}
		late, err := dep.slowestInForce(applied)
		if err != nil {
			return err
		}
		slowest = append(slowest, late.Seconds())
	}
	changes.printSlopes(b.report)
	b.report.printSlope("manifest.in-force", changes.x, "s", changes.xs, slowest)
	return nil
}

// whileChanging applies manifest changes at a rate while f runs, and returns by version
// when each manifest was submitted. All changes go through the owner. If the client chose
// the entry, the cost of accepting them would be attributed to different roles at
// different points.
func (dep *deployment) whileChanging(ctx context.Context, perSecond float64, f func() error) (map[uint64]time.Time, error) {
	applied := map[uint64]time.Time{}
	owner, _, _, err := dep.roles(ctx)
	if err != nil {
		return nil, err
	}
	client, err := apiclient.New(apiclient.Options{Entries: []string{dep.URL(owner)}})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	load, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- dep.applyChanges(load, client, perSecond, applied) }()
	err = f()
	stop()
	if changeErr := <-done; err == nil {
		err = changeErr
	}
	return applied, err
}

// applyChanges changes the weight of one account after another until ctx ends, and stores
// in applied when each version was submitted.
func (dep *deployment) applyChanges(ctx context.Context, client *apiclient.Client, perSecond float64, applied map[uint64]time.Time) error {
	if perSecond == 0 {
		<-ctx.Done()
		return nil
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		account := &dep.manifest.Accounts[n%len(dep.manifest.Accounts)]
		account.Weight = 3 - account.Weight // 1 and 2 in turn
		start := time.Now()
		if err := dep.applyAt(context.WithoutCancel(ctx), client); err != nil {
			return err
		}
		applied[dep.manifest.Parent] = start
		select {
		case <-ctx.Done():
			// Lets the last change reach all processes before the logs are read.
			time.Sleep(3 * time.Second)
			return nil
		case <-tick.C:
		}
	}
}

// inForceLine matches the log line of a daemon that puts a new manifest in force.
var inForceLine = regexp.MustCompile(`^I(\d{4} [\d:.]+) .*"manifest in force" (?:manifestVersion|version)=(\d+)`)

// slowestInForce returns the longest time from the submission of a version until a process
// had that version or a later one in force, according to the logs of all daemons.
func (dep *deployment) slowestInForce(applied map[uint64]time.Time) (time.Duration, error) {
	var names []string
	for i := range dep.entries {
		names = append(names, cluster.EntryName(i+1))
	}
	for i := range dep.workers {
		names = append(names, cluster.AgentName(i+1))
	}
	var slowest time.Duration
	for _, name := range names {
		seen, err := dep.versionTimes(name)
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

// versionTimes returns when each manifest version came into force at a process, according
// to its log.
func (dep *deployment) versionTimes(name string) (map[uint64]time.Time, error) {
	f, err := os.Open(filepath.Join(dep.dir, name+".log"))
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
