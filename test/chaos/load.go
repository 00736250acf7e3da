package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/test/cluster"
	"github.com/parsleypier/parsleypier/test/history"
)

// The load keeps about half of the accelerators busy. The intervals are means, except
// cancelInterval.
const (
	submitInterval = 80 * time.Millisecond
	cancelInterval = 4 * time.Second
	claimInterval  = time.Second
	applyInterval  = 1500 * time.Millisecond
	operators      = 3   // concurrent appliers of manifests
	maxInFlight    = 150 // concurrent submissions
	// stopTimeout is the time that requests in progress get to end after the load.
	stopTimeout = 20 * time.Second
)

// jobSpec returns a job that runs for runMS milliseconds.
func jobSpec(account, kind, key string, runMS int64, idempotent bool) structs.JobSpec {
	payload, err := json.Marshal(workerstub.Payload{RunMS: runMS, ResultBytes: 40, ExitRank: -1})
	if err != nil {
		panic(err) // a Payload always marshals
	}
	return structs.JobSpec{Account: account, Kind: kind, RequestKey: key, Payload: payload, Idempotent: &idempotent}
}

func jobID(s structs.JobSpec) string { return structs.JobID(s.Account, s.RequestKey) }

func cancelRequest(account, kind string) structs.CancelRequest {
	return structs.CancelRequest{Account: account, Kind: kind}
}

// loadGenerator submits jobs, cancels some and applies manifests, through all entries.
type loadGenerator struct {
	r    *history.Recorder
	seed uint64
	wg   sync.WaitGroup
	stop context.CancelFunc
}

func (l *loadGenerator) start(ctx context.Context) {
	// Submissions get a context that outlives ctx, so that those in progress can end
	// after the load.
	requests, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stop = stop
	l.wg.Go(func() { l.submitJobs(ctx, requests, rand.New(rand.NewPCG(l.seed, 2))) })
	l.wg.Go(func() { l.cancelJobs(ctx, rand.New(rand.NewPCG(l.seed, 3))) })
	l.wg.Go(func() { l.claimGuarantees(ctx, requests, rand.New(rand.NewPCG(l.seed, 4))) })
	for i := range operators {
		l.wg.Go(func() { l.applyManifests(ctx, i, rand.New(rand.NewPCG(l.seed, uint64(10+i)))) })
	}
}

// wait waits until all requests have ended, and cancels them after stopTimeout.
func (l *loadGenerator) wait() {
	timer := time.AfterFunc(stopTimeout, l.stop)
	defer timer.Stop()
	l.wg.Wait()
	l.stop()
}

// jobMix lists the jobs to choose from: kind, account, and the shortest and longest run
// time in milliseconds.
var jobMix = []struct {
	kind, account string
	minMS, maxMS  int64
}{
	{"check", "clinic", 20, 400}, {"check", "shop", 20, 400}, {"pair", "clinic", 100, 1000},
	{"proof", "press", 500, 3000}, {"wide", "shop", 200, 2500}, {"wide", "press", 200, 2500},
	{"order", "shop", 20, 800}, {"order", "clinic", 20, 800}, {"order-gang", "press", 200, 2500}, {"charge", "shop", 1000, 4000},
}

// submitJobs submits random jobs until ctx ends. Some fail, and some are submitted
// three times under one request key.
func (l *loadGenerator) submitJobs(ctx, requests context.Context, random *rand.Rand) {
	slots := make(chan struct{}, maxInFlight)
	for i := 0; ctx.Err() == nil; i++ {
		m := jobMix[random.IntN(len(jobMix))]
		// The kinds order, order-gang and charge are not idempotent.
		idempotent := m.kind[0] != 'o' && m.kind != "charge"
		s := jobSpec(m.account, m.kind, fmt.Sprintf("%d-%d", l.seed, i), m.minMS+random.Int64N(m.maxMS-m.minMS), idempotent)
		if random.IntN(50) == 0 {
			s.Payload, _ = json.Marshal(workerstub.Payload{RunMS: 50, Fail: true, ExitRank: -1})
		}
		wait := []time.Duration{0, time.Second, 10 * time.Second, 20 * time.Second}[random.IntN(4)]
		copies := 1
		if random.IntN(8) == 0 {
			copies = 3
		}
		for c := range copies {
			entry := []string{"", "entry1", "entry2", "entry3"}[random.IntN(4)]
			submitted := s
			if c == 2 && random.IntN(2) == 0 {
				submitted.Payload = append([]byte(" "), s.Payload...) // another payload under the same key
			}
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			l.wg.Go(func() {
				l.r.Submit(requests, submitted.Kind, entry, submitted, wait)
				<-slots
			})
		}
		sleepContext(ctx, time.Duration(random.Int64N(int64(2*submitInterval))))
	}
}

// claimGuarantees repeatedly submits a job inside the guarantee of account lab, which
// runs nothing else, until ctx ends.
func (l *loadGenerator) claimGuarantees(ctx, requests context.Context, random *rand.Rand) {
	for n := 0; sleepContext(ctx, time.Duration(random.Int64N(int64(2*claimInterval)))); n++ {
		l.r.ClaimThroughAllEntries(requests, jobSpec("lab", "pair", "claim-"+strconv.Itoa(n), 200, true))
	}
}

func (l *loadGenerator) cancelJobs(ctx context.Context, random *rand.Rand) {
	for sleepContext(ctx, cancelInterval) {
		m := jobMix[random.IntN(len(jobMix))]
		// The error is ignored: a request without a response may have cancelled jobs,
		// and the job records say which.
		_, _ = l.r.CancelJobs(ctx, cancelRequest(m.account, m.kind))
	}
}

// applyManifests acts as one operator: it reads the manifest in force and applies a
// successor, until ctx ends.
func (l *loadGenerator) applyManifests(ctx context.Context, operator int, random *rand.Rand) {
	for n := 0; sleepContext(ctx, time.Duration(random.Int64N(int64(2*applyInterval)))); n++ {
		m, err := l.r.HealthyClient().Manifest(ctx, 0)
		if err != nil {
			continue
		}
		applyCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
		l.r.Apply(applyCtx, cluster.Manifest, "proof-"+strconv.Itoa(operator)+"-"+strconv.Itoa(n), "entry"+strconv.Itoa(1+random.IntN(3)), m.Version)
		cancel()
	}
}

// sleepContext waits for d. It returns false if ctx ended first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
