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

// Pace of the load, which keeps about half of the accelerators busy.
const (
	submitInterval = 80 * time.Millisecond
	cancelInterval = 4 * time.Second
	claimInterval  = time.Second
	applyInterval  = 1500 * time.Millisecond
	operators      = 3
	maxInFlight    = 150
	// stopTimeout lets requests in progress end after the faults.
	stopTimeout = 20 * time.Second
)

func spec(account, kind, key string, runMS int64, idempotent bool) structs.JobSpec {
	payload, err := json.Marshal(workerstub.Payload{RunMS: runMS, ResultBytes: 40, ExitRank: -1})
	if err != nil {
		panic(err) // a Payload always marshals
	}
	return structs.JobSpec{Account: account, Kind: kind, RequestKey: key, Payload: payload, Idempotent: &idempotent}
}

func jobID(s structs.JobSpec) string { return structs.JobID(s.Account, s.RequestKey) }

func cancelKind(account, kind string) structs.CancelRequest {
	return structs.CancelRequest{Account: account, Kind: kind}
}

// loader submits jobs, cancels some and changes the manifest.
type loader struct {
	r    *history.Recorder
	seed uint64
	wg   sync.WaitGroup
	stop context.CancelFunc
}

func (l *loader) start(ctx context.Context) {
	// Requests in progress outlive the load.
	requests, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stop = stop
	l.wg.Go(func() { l.submit(ctx, requests, rand.New(rand.NewPCG(l.seed, 2))) })
	l.wg.Go(func() { l.cancel(ctx, rand.New(rand.NewPCG(l.seed, 3))) })
	l.wg.Go(func() { l.claim(ctx, requests, rand.New(rand.NewPCG(l.seed, 4))) })
	for i := range operators {
		l.wg.Go(func() { l.operate(ctx, i, rand.New(rand.NewPCG(l.seed, uint64(10+i)))) })
	}
}

func (l *loader) wait() {
	timer := time.AfterFunc(stopTimeout, l.stop)
	defer timer.Stop()
	l.wg.Wait()
	l.stop()
}

// mix lists the jobs: kind, account, shortest and longest run time in ms.
var mix = []struct {
	kind, account string
	low, high     int64
}{
	{"check", "clinic", 20, 400}, {"check", "shop", 20, 400}, {"pair", "clinic", 100, 1000},
	{"proof", "press", 500, 3000}, {"wide", "shop", 200, 2500}, {"wide", "press", 200, 2500},
	{"order", "shop", 20, 800}, {"order", "clinic", 20, 800}, {"order-gang", "press", 200, 2500}, {"charge", "shop", 1000, 4000},
}

func (l *loader) submit(ctx, requests context.Context, random *rand.Rand) {
	slots := make(chan struct{}, maxInFlight)
	for i := 0; ctx.Err() == nil; i++ {
		m := mix[random.IntN(len(mix))]
		idempotent := m.kind[0] != 'o' && m.kind != "charge"
		s := spec(m.account, m.kind, fmt.Sprintf("%d-%d", l.seed, i), m.low+random.Int64N(m.high-m.low), idempotent)
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
			again := s
			if c == 2 && random.IntN(2) == 0 {
				again.Payload = append([]byte(" "), s.Payload...) // another request under the same key
			}
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			l.wg.Go(func() {
				l.r.Submit(requests, again.Kind, entry, again, wait)
				<-slots
			})
		}
		pause(ctx, time.Duration(random.Int64N(int64(2*submitInterval))))
	}
}

// claim claims the guarantee of an account that runs nothing else, again and
// again while the faults go on.
func (l *loader) claim(ctx, requests context.Context, random *rand.Rand) {
	for n := 0; pause(ctx, time.Duration(random.Int64N(int64(2*claimInterval)))); n++ {
		l.r.ClaimThroughAllEntries(requests, spec("lab", "pair", "claim-"+strconv.Itoa(n), 200, true))
	}
}

func (l *loader) cancel(ctx context.Context, random *rand.Rand) {
	for pause(ctx, cancelInterval) {
		m := mix[random.IntN(len(mix))]
		// A wave that is not answered may have cancelled; the records tell.
		_, _ = l.r.CancelJobs(ctx, cancelKind(m.account, m.kind))
	}
}

// operate applies manifests as successors of the one that this operator reads.
func (l *loader) operate(ctx context.Context, operator int, random *rand.Rand) {
	for n := 0; pause(ctx, time.Duration(random.Int64N(int64(2*applyInterval)))); n++ {
		m, err := l.r.HealthyClient().Manifest(ctx, 0)
		if err != nil {
			continue
		}
		short, cancel := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
		l.r.Apply(short, cluster.Manifest, "proof-"+strconv.Itoa(operator)+"-"+strconv.Itoa(n), "entry"+strconv.Itoa(1+random.IntN(3)), m.Version)
		cancel()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
