package history

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// watchInterval is how often the version at a process is read.
const watchInterval = 100 * time.Millisecond

// ownerExpiry is the time without renewal after which an owner's row expires;
// the next owner schedules at most TakeoverBound later.
const (
	ownerExpiry   = 3 * time.Second
	TakeoverBound = 3 * time.Second
)

// Recorder drives the processes of a cluster and records what they do. It is
// safe for concurrent use.
type Recorder struct {
	Cluster *cluster.Cluster
	kinds   map[string]structs.Kind
	clients map[string]*apiclient.Client

	mu        sync.Mutex
	run       Run
	takeovers []Takeover
	injected  int64 // faults that the platform had injected at the last end of one
}

// Takeover is the time from the expiry of an owner's row to the new owner's.
type Takeover struct {
	From, To time.Time // kill, and first view of an owner that schedules
	// AfterExpiry is To minus the last renewal minus the expiry of 3 s.
	AfterExpiry time.Duration
}

// NewRecorder returns a recorder of a cluster that runs manifest document.
func NewRecorder(c *cluster.Cluster, document []byte, seed uint64) (*Recorder, error) {
	m, err := manifest.Decode(document)
	if err != nil {
		return nil, err
	}
	r := &Recorder{Cluster: c, kinds: map[string]structs.Kind{}, clients: map[string]*apiclient.Client{}, run: Run{Seed: seed}}
	for _, k := range m.Kinds {
		r.kinds[k.Name] = k
	}
	// A client for each entry, so that a cut request is not hidden by a repetition,
	// and one that knows all entries.
	targets := map[string][]string{"": c.EntryURLs()}
	for _, name := range c.ProcessNames("entry") {
		targets[name] = []string{c.URL(name)}
	}
	for name, urls := range targets {
		if r.clients[name], err = apiclient.New(apiclient.Options{Entries: urls, Transport: &transport{r: r, next: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: apiclient.IdleTimeout}}}); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Client returns the client of an entry, or of all if name is empty.
func (r *Recorder) Client(name string) *apiclient.Client { return r.clients[name] }

// Reachable returns the client of an entry on which no fault lasts, so that an
// operator's request does not hang at a frozen one; or that of all entries.
func (r *Recorder) Reachable() *apiclient.Client {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.Cluster.ProcessNames("entry") {
		if p := r.Cluster.Process(name); p != nil && p.Alive() && !r.run.during(name, now, now, Freeze, Terminate, Cut, CutOneWay, Slow) {
			return r.clients[name]
		}
	}
	return r.clients[""]
}

// transport records every request, with its whole reply.
type transport struct {
	r    *Recorder
	next *http.Transport
}

func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	q := Request{Entry: t.r.Cluster.ProcessNameByAddr(req.URL.Host), Method: req.Method, Path: req.URL.Path, Call: time.Now()}
	resp, err := t.next.RoundTrip(req.WithContext(ctx))
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			q.Status = resp.StatusCode
			resp.Body.Close()
			resp.Body = io.NopCloser(bytes.NewReader(body))
		}
	}
	q.Return, q.Connected, q.Err = time.Now(), connected.Load(), err
	if req.Context().Err() == nil { // the caller did not give up
		t.r.mu.Lock()
		t.r.run.Requests = append(t.r.run.Requests, q)
		t.r.mu.Unlock()
	}
	return resp, err
}

// Submit submits a job through an entry (any if empty), and records it.
func (r *Recorder) Submit(ctx context.Context, name, entry string, spec structs.JobSpec, wait time.Duration) *Op {
	kind := r.kinds[spec.Kind]
	op := &Op{Name: name, Spec: spec, JobID: structs.JobID(spec.Account, spec.RequestKey), Idempotent: kind.Idempotent, Call: time.Now()}
	if spec.Idempotent != nil {
		op.Idempotent = *spec.Idempotent
	}
	job, err := r.clients[entry].Submit(ctx, spec, wait)
	op.Return, op.Err = time.Now(), verdict.From(err)
	if err == nil {
		op.Job = job
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Ops = append(r.run.Ops, op)
	return op
}

var deployment = regexp.MustCompile(`(?m)^deployment: .*$`)

// Apply applies the document under the deployment name label as the successor
// of parent.
func (r *Recorder) Apply(ctx context.Context, document []byte, label, entry string, parent uint64) *Apply {
	document = deployment.ReplaceAll(document, []byte("deployment: "+label))
	a := &Apply{Parent: parent, Document: label, Call: time.Now()}
	reply, err := r.clients[entry].ApplyManifest(ctx, document, &parent)
	a.Return, a.Err = time.Now(), verdict.From(err)
	if err == nil {
		a.Version = reply.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Applies = append(r.run.Applies, a)
	return a
}

// CancelWave cancels jobs, and records those that are said not to have run.
func (r *Recorder) CancelWave(ctx context.Context, req structs.CancelRequest) (*structs.CancelResponse, error) {
	out, err := r.Reachable().CancelWave(ctx, req)
	if err == nil {
		r.mu.Lock()
		r.run.Cancels++
		r.run.Cancelled = append(r.run.Cancelled, out.Cancelled...)
		r.mu.Unlock()
	}
	return out, err
}

// Claim records that a job must start within UrgentStart of now.
func (r *Recorder) Claim(jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Claims = append(r.run.Claims, Claim{JobID: jobID, Submitted: time.Now(), Bound: UrgentStart})
}

// ClaimEverywhere claims a guarantee through every entry at once under one
// request key, again after a refusal, as a requester does that does not know
// which entries are down. It returns when every entry has answered.
func (r *Recorder) ClaimEverywhere(ctx context.Context, spec structs.JobSpec) {
	r.Claim(structs.JobID(spec.Account, spec.RequestKey))
	until := time.Now().Add(UrgentStart)
	var wg sync.WaitGroup
	for _, entry := range r.Cluster.ProcessNames("entry") {
		wg.Go(func() {
			for {
				op := r.Submit(ctx, "claim", entry, spec, UrgentStart)
				if op.Err == nil || op.Err.Verdict != verdict.NotRun || time.Now().After(until) || !every(ctx, 200*time.Millisecond) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// Begin records the begin of a fault.
func (r *Recorder) Begin(kind FaultKind, target, peer string) *Fault {
	f := &Fault{Kind: kind, Target: target, Peer: peer, From: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Faults = append(r.run.Faults, f)
	return f
}

// End records the end of a fault. seen says that it met what it disturbs.
func (r *Recorder) End(f *Fault, seen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.To, f.Seen = time.Now(), f.Seen || seen
}

// Seen records that a lasting fault met what it disturbs.
func (r *Recorder) Seen(f *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.Seen = true
}

// Open returns the last fault of the kind on target that lasts, or nil.
func (r *Recorder) Open(target string, kinds ...FaultKind) *Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.run.Faults) - 1; i >= 0; i-- {
		if f := r.run.Faults[i]; f.To.IsZero() && f.Target == target && slices.Contains(kinds, f.Kind) {
			return f
		}
	}
	return nil
}

// Watch reads the version of the manifest at every process, and the renewals
// of the owner's row, until ctx ends.
func (r *Recorder) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range append(r.Cluster.ProcessNames("entry"), r.Cluster.ProcessNames("agent")...) {
		wg.Go(func() { r.watchVersion(ctx, name) })
	}
	wg.Go(func() { r.watchOwner(ctx) })
	wg.Wait()
}

func every(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Recorder) watchVersion(ctx context.Context, name string) {
	for every(ctx, watchInterval) {
		short, cancel := context.WithTimeout(ctx, time.Second)
		v := VersionRead{Process: name, Call: time.Now()}
		var err error
		v.Version, err = r.Cluster.ManifestVersion(short, name)
		v.Return = time.Now()
		cancel()
		if err == nil {
			r.mu.Lock()
			r.run.Reads = append(r.run.Reads, v)
			r.mu.Unlock()
		}
	}
}

func (r *Recorder) watchOwner(ctx context.Context) {
	var last uint64
	for every(ctx, watchInterval/5) {
		value, version, err := r.Cluster.TableRow(ctx, "owners/"+r.Cluster.Domain())
		if err != nil || version == last {
			continue
		}
		last = version
		var row structs.Owner
		if json.Unmarshal(value, &row) != nil {
			continue
		}
		now := time.Now()
		r.mu.Lock()
		if n := len(r.run.Owners); n == 0 || r.run.Owners[n-1].Epoch != row.Epoch || r.run.Owners[n-1].Entry != row.EntryID {
			r.run.Owners = append(r.run.Owners, Tenure{Entry: row.EntryID, Epoch: row.Epoch, From: now})
		}
		r.run.Owners[len(r.run.Owners)-1].Renewed = now
		r.mu.Unlock()
	}
}

// Owner returns the name of the entry that owns the domain and schedules, and
// its epoch.
func (r *Recorder) Owner(ctx context.Context) (string, uint32) {
	for _, name := range r.Cluster.ProcessNames("entry") {
		if p := r.Cluster.Process(name); p == nil || !p.Alive() || r.Open(name, Freeze) != nil {
			continue
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		v, err := r.clients[name].View(short, "status", r.Cluster.Domain())
		cancel()
		if err == nil && len(v.Domains) == 1 && v.Domains[0].Error == nil && !v.Domains[0].Recovering {
			return v.Domains[0].Owner.EntryID, v.Domains[0].Owner.Epoch
		}
	}
	return "", 0
}

// AwaitTakeover waits for a new owner after the loss of the owner of epoch.
func (r *Recorder) AwaitTakeover(ctx context.Context, from time.Time, epoch uint32) (Takeover, error) {
	for {
		if name, now := r.Owner(ctx); name != "" && now > epoch {
			t := Takeover{From: from, To: time.Now()}
			r.mu.Lock()
			// The expiry counts from the last renewal of the old owner.
			renewed := from.Add(-time.Second) // the interval of the renewals
			for _, o := range r.run.Owners {
				if o.Epoch == epoch {
					renewed = o.Renewed
				}
			}
			t.AfterExpiry = t.To.Sub(renewed) - ownerExpiry
			r.takeovers = append(r.takeovers, t)
			r.mu.Unlock()
			return t, nil
		}
		if !every(ctx, 20*time.Millisecond) {
			return Takeover{}, errors.New("no new owner in time")
		}
	}
}

// Takeovers returns the recorded takeovers.
func (r *Recorder) Takeovers() []Takeover {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.takeovers)
}

// Collect waits until every accepted job is final or ctx ends, and returns the
// whole record.
func (r *Recorder) Collect(ctx context.Context) (*Run, error) {
	if err := r.collectJobs(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	defer cancel()
	accepted, err := r.acceptedManifests(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Accepted = accepted
	r.run.Tasks = nil
	for _, name := range r.Cluster.ProcessNames("worker") {
		tasks, err := ReadTasks(name, r.Cluster.HistoryFile(name))
		if err != nil {
			return nil, err
		}
		r.run.Tasks = append(r.run.Tasks, tasks...)
	}
	run := r.run
	return &run, nil
}

// acceptedManifests returns the documents of all accepted versions. The history
// lists the newest 100, which a long run exceeds; older ones are read one by one.
func (r *Recorder) acceptedManifests(ctx context.Context) (map[uint64]string, error) {
	history, err := r.clients[""].ManifestHistory(ctx, 100)
	if err != nil {
		return nil, err
	}
	accepted := map[uint64]string{}
	oldest := uint64(math.MaxUint64)
	for _, m := range history.Manifests {
		accepted[m.Version] = m.Deployment
		oldest = min(oldest, m.Version)
	}
	for v := uint64(1); len(accepted) > 0 && v < oldest; v++ {
		m, err := r.clients[""].Manifest(ctx, v)
		if verdict.HasCode(err, verdict.CodeNotFound) {
			continue // the check misses it if it was accepted
		}
		if err != nil {
			return nil, err
		}
		accepted[v] = m.Deployment
	}
	return accepted, nil
}

// collectJobs reads the final records of all submitted jobs.
func (r *Recorder) collectJobs(ctx context.Context) error {
	r.mu.Lock()
	open := map[string]bool{}
	for _, op := range r.run.Ops {
		open[op.JobID] = true
	}
	r.run.Final = map[string]*structs.Job{}
	r.mu.Unlock()
	jobs := make(chan string)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for id := range jobs {
				job := r.final(ctx, id)
				r.mu.Lock()
				r.run.Final[id] = job
				r.mu.Unlock()
			}
		})
	}
	for id := range open {
		jobs <- id
	}
	close(jobs)
	wg.Wait()
	return nil
}

// final returns the record when it is final, the last one seen when ctx ends,
// or nil if there is no such job.
func (r *Recorder) final(ctx context.Context, id string) *structs.Job {
	var last *structs.Job
	for ctx.Err() == nil {
		job, err := r.clients[""].Job(ctx, id, 5*time.Second)
		if err == nil {
			if last = job; job.State.Final() {
				return job
			}
		} else if verdict.HasCode(err, verdict.CodeNotFound) {
			return nil
		}
		if !every(ctx, 100*time.Millisecond) {
			break
		}
	}
	return last
}
