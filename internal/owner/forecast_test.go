package owner

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// queueManifest returns a manifest with kinds of different length and size for
// the two workers of the harness, which have 16 accelerators in total.
func queueManifest() *structs.Manifest {
	m := testManifest()
	shape := func(workers, accelerators int, adjacency structs.Adjacency) structs.Shape {
		return structs.Shape{Workers: workers, Accelerators: accelerators, Adjacency: adjacency, CoresMilli: 100, MemoryMB: 64}
	}
	m.Kinds = []structs.Kind{
		{Name: "short", Urgency: structs.Standard, Idempotent: true, Shape: shape(1, 1, structs.AdjacentNone), RunSeconds: 10},
		{Name: "long", Urgency: structs.Standard, Idempotent: true, Shape: shape(1, 4, structs.AdjacentWorker), RunSeconds: 30},
		{Name: "wide", Urgency: structs.Standard, Idempotent: true, Shape: shape(2, 4, structs.AdjacentWorker), RunSeconds: 60},
	}
	return m
}

// runTimeFactors are the ratios of actual to declared run times by kind.
var runTimeFactors = map[string]float64{"short": 0.5, "long": 2, "wide": 0.8}

// runQueue submits jobs in bursts at the given load for the given time, and
// returns the owner's statistics of its start estimates.
func runQueue(h *harness, seed uint64, load float64, length time.Duration) startEstimateStats {
	random := rand.New(rand.NewPCG(seed, 0))
	lengths := rand.New(rand.NewPCG(seed, 1)) // guarded by h.agents.mu
	h.agents.handle("Commit", func(args any, reply any) error {
		r := reply.(*structs.GangReply)
		r.Incarnation, r.Phase = 1, structs.PhaseReleased
		h.agents.mu.Lock()
		g := h.agents.gangs[args.(*structs.GangArgs).GangID]
		ran := structs.Seconds(h.manifest.Kind(g.Kind).RunSeconds * runTimeFactors[g.Kind] * math.Exp(0.5*lengths.NormFloat64()))
		h.agents.mu.Unlock()
		go func() {
			time.Sleep(ran)
			h.owner.GangFinished(context.Background(), structs.GangOutcome{Gang: g, Phase: structs.PhaseFinished, Result: structs.NewResult(g.Attempt, nil), Ran: ran})
		}()
		return nil
	})
	end := time.Now().Add(length)
	var widths []float64
	for n := 0; time.Now().Before(end); {
		work := 0.0
		for range 1 + random.IntN(20) {
			k := &h.manifest.Kinds[random.IntN(len(h.manifest.Kinds))]
			work += float64(k.Shape.Total()) * k.RunSeconds * runTimeFactors[k.Name] * math.Exp(0.125)
			n++
			h.submit(structs.JobSpec{Account: []string{"a", "b"}[random.IntN(2)], Kind: k.Name, RequestKey: fmt.Sprint(n)})
		}
		v, err := h.owner.View(&structs.ViewArgs{Domain: testDomain})
		if err == nil && len(v.Queue) > 0 {
			v, err = h.owner.View(&structs.ViewArgs{Domain: testDomain, JobID: v.Queue[random.IntN(len(v.Queue))].ID})
		}
		if err == nil && v.Explain != nil && v.Explain.Start != nil && v.Explain.Start.None == "" {
			e := v.Explain.Start
			widths = append(widths, e.LatestSeconds/max(e.EarliestSeconds, 1))
		}
		time.Sleep(structs.Seconds(work / (16 * load) * (0.5 + random.Float64())))
	}
	slices.Sort(widths)
	if len(widths) == 0 {
		h.t.Fatal("no estimate was given")
	}
	h.t.Logf("latest divided by earliest start: median %.1f of %d ranges", widths[len(widths)/2], len(widths))
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	return h.owner.startStats
}

// Guards against start estimates whose range does not contain eight starts in
// ten. More would be a fault too, since a range that contains everything says
// nothing. 0.08 is four standard deviations of 400 independent estimates.
func TestStartEstimateRangeCoverage(t *testing.T) {
	const target, deviation = 0.8, 0.08
	// The agents of the harness send no heartbeats and are lost after an hour.
	const length = 50 * time.Minute
	var sum startEstimateStats
	for seed := range uint64(4) {
		withManifest(t, queueManifest(), func(h *harness) {
			r := runQueue(h, seed, 0.95, length)
			t.Logf("seed %d: %d of %d in range", seed, r.inRange, r.judged)
			sum.judged += r.judged
			sum.inRange += r.inRange
			time.Sleep(time.Hour) // lets the running gangs end
		})
	}
	t.Logf("%d of %d in range", sum.inRange, sum.judged)
	if rate := float64(sum.inRange) / float64(sum.judged); sum.judged < 400 || math.Abs(rate-target) > deviation {
		t.Errorf("%d of %d estimates in range, %.2f", sum.inRange, sum.judged, rate)
	}
}

// Guards against a start estimate when there is no basis for one.
func TestExplainSaysWhyThereIsNoEstimate(t *testing.T) {
	start := func(h *harness, id string) *structs.StartEstimate {
		v, err := h.owner.View(&structs.ViewArgs{Domain: testDomain, JobID: id})
		if err != nil || v.Explain == nil {
			h.t.Fatalf("explain %s: %v", id, err)
		}
		return v.Explain.Start
	}
	withHarness(t, func(h *harness) {
		h.submit(jobSpec("pair", "1"))
		h.submit(jobSpec("pair", "2"))
		waiting := h.submit(jobSpec("pair", "3"))
		time.Sleep(time.Second)
		if e := start(h, waiting.ID); e == nil || !strings.Contains(e.None, " of 8") {
			t.Errorf("without observations: %+v", e)
		}
		h.owner.mu.Lock()
		h.owner.waitReasons[waiting.ID] = structs.WaitQuota
		h.owner.mu.Unlock()
		if e := start(h, waiting.ID); e == nil || !strings.Contains(e.None, "quota") {
			t.Errorf("account at its quota: %+v", e)
		}
		h.owner.mu.Lock()
		h.health = platformclient.HealthDown
		h.owner.jobs[waiting.ID].rec.Idempotent = false
		h.owner.mu.Unlock()
		if e := start(h, waiting.ID); e == nil || !strings.Contains(e.None, "platform") {
			t.Errorf("platform down: %+v", e)
		}
	})
}

// Guards against counting as a start a placement that every agent refuses, for
// example because its result memory is full.
func TestRefusedPlacementIsNotCountedAsStart(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.agents.handle("Prepare", func(any, any) error {
			return verdict.Refuse(verdict.CodeOverloaded, "result memory is full")
		})
		h.owner.mu.Lock()
		for range estimate.MinObservations {
			h.owner.startEstimator.Observe("a", "test", time.Second, time.Second)
		}
		h.owner.mu.Unlock()
		h.submit(jobSpec("test", "1"))
		time.Sleep(time.Minute)
		h.owner.mu.Lock()
		defer h.owner.mu.Unlock()
		if want := (startEstimateStats{judged: 1}); h.owner.startStats != want {
			t.Errorf("statistics %+v, want %+v", h.owner.startStats, want)
		}
	})
}

// ownerWithQueue returns an owner that is not started and has n waiting jobs of
// 57 accounts.
func ownerWithQueue(n int) *Owner {
	m := queueManifest()
	o := New(Config{Domain: testDomain, Epoch: 1, Manifests: fixedManifest{m}, Health: func() platformclient.Health { return platformclient.HealthOK }})
	o.recovering = false
	for i := range n {
		k := &m.Kinds[i%len(m.Kinds)]
		rec := structs.Job{ID: fmt.Sprintf("%d", i), Shape: k.Shape, RunSeconds: k.RunSeconds + float64(i%10), State: structs.JobWaiting, Idempotent: true,
			Spec: structs.JobSpec{Account: fmt.Sprint("team", i%57), Kind: k.Name}}
		j := newJob(rec, time.Duration(i)*time.Millisecond)
		o.addJob(j)
		o.startEstimator.Observe(rec.Spec.Account, k.Name, time.Second, time.Duration(1+i%7)*time.Second)
		o.runtimes.Observe(rec.Spec.Account, k.Name, "", structs.Seconds(rec.RunSeconds), time.Duration(1+i%7)*time.Second)
	}
	info := structs.AgentInfo{ID: "w", WorkerCapacity: structs.WorkerCapacity{Accelerators: 8, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8}}
	o.registry.Announce(0, info, false)
	o.agents["w"] = &agent{info: info}
	return o
}

func BenchmarkEstimateStart5000Waiting(b *testing.B) {
	o := ownerWithQueue(5000)
	j := o.jobs["4999"]
	if e := o.estimateStart(j); e.None != "" {
		b.Fatal(e.None)
	}
	for b.Loop() {
		o.estimateStart(j)
	}
}

func BenchmarkForecastRound5000Waiting(b *testing.B) {
	o := ownerWithQueue(5000)
	for b.Loop() {
		o.updateForecasts()
	}
}
