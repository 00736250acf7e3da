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

// watchInterval is the interval at which Watch reads the manifest version of a process.
const watchInterval = 100 * time.Millisecond

const (
	// ownerExpiry is the time without a renewal after which an owner's row expires.
	ownerExpiry = 3 * time.Second
	// TakeoverBound limits the time from that expiry until the next owner schedules.
	TakeoverBound = 3 * time.Second
)

// Recorder sends requests to the processes of a cluster, injects faults, and records
// both. It is safe for concurrent use.
type Recorder struct {
	Cluster *cluster.Cluster
	kinds   map[string]structs.Kind
	clients map[string]*apiclient.Client

	mu             sync.Mutex
	run            Run
	takeovers      []Takeover
	injectedFaults int64 // the platform's count of injected faults when its last fault ended
}

// Takeover is the change of the owner after the loss of the previous one.
type Takeover struct {
	// From is the time of the loss; To is when a new owner was first seen to schedule.
	From, To time.Time
	// AfterExpiry is the time from the expiry of the previous owner's row, 3 s after
	// its last renewal, until To.
	AfterExpiry time.Duration
}

// NewRecorder returns a Recorder for a cluster that runs the manifest in document.
func NewRecorder(c *cluster.Cluster, document []byte, seed uint64) (*Recorder, error) {
	m, err := manifest.Decode(document)
	if err != nil {
		return nil, err
	}
	r := &Recorder{Cluster: c, kinds: map[string]structs.Kind{}, clients: map[string]*apiclient.Client{}, run: Run{Seed: seed}}
	for _, k := range m.Kinds {
		r.kinds[k.Name] = k
	}
	// There is one client per entry, so that a retry through another entry does not
	// hide a request that was cut off, and one client that uses all entries.
	targets := map[string][]string{"": c.EntryURLs()}
	for _, name := range c.ProcessNames("entry") {
		targets[name] = []string{c.URL(name)}
	}
	for name, urls := range targets {
		if r.clients[name], err = apiclient.New(apiclient.Options{Entries: urls, Transport: &recordingTransport{r: r, next: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: apiclient.IdleTimeout}}}); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Client returns the client for one entry, or the client that uses all entries if name
// is empty.
func (r *Recorder) Client(name string) *apiclient.Client { return r.clients[name] }

// HealthyClient returns the client of a running entry without an active fault, so that
// a request of an operator does not hang at a frozen entry. If there is none, it
// returns the client that uses all entries.
func (r *Recorder) HealthyClient() *apiclient.Client {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.Cluster.ProcessNames("entry") {
		if p := r.Cluster.Process(name); p != nil && p.Alive() && !r.run.faultDuring(name, now, now, Freeze, Terminate, Cut, CutOneWay, Slow) {
			return r.clients[name]
		}
	}
	return r.clients[""]
}

// recordingTransport records every request. It reads the whole response first, so that
// the record includes a connection that breaks during the body.
type recordingTransport struct {
	r    *Recorder
	next *http.Transport
}

func (t *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
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
	if req.Context().Err() == nil { // not a request that the caller itself cancelled
		t.r.mu.Lock()
		t.r.run.Requests = append(t.r.run.Requests, q)
		t.r.mu.Unlock()
	}
	return resp, err
}

// Submit submits a job through an entry, or through any entry if it is empty, and
// records the submission. name identifies the submission in violations.
func (r *Recorder) Submit(ctx context.Context, name, entry string, spec structs.JobSpec, wait time.Duration) *Submission {
	kind := r.kinds[spec.Kind]
	sub := &Submission{Name: name, Spec: spec, JobID: structs.JobID(spec.Account, spec.RequestKey), Idempotent: kind.Idempotent, Call: time.Now()}
	if spec.Idempotent != nil {
		sub.Idempotent = *spec.Idempotent
	}
	job, err := r.clients[entry].Submit(ctx, spec, wait)
	sub.Return, sub.Err = time.Now(), verdict.From(err)
	if err == nil {
		sub.Job = job
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Submissions = append(r.run.Submissions, sub)
	return sub
}

var deploymentLine = regexp.MustCompile(`(?m)^deployment: .*$`)

// Apply applies the manifest in document as the successor of version parent, and
// records it. The deployment name in the document is replaced by label, which tells the
// manifests of a run apart.
func (r *Recorder) Apply(ctx context.Context, document []byte, label, entry string, parent uint64) *Apply {
	document = deploymentLine.ReplaceAll(document, []byte("deployment: "+label))
	a := &Apply{Parent: parent, Document: label, Call: time.Now()}
	response, err := r.clients[entry].ApplyManifest(ctx, document, &parent)
	a.Return, a.Err = time.Now(), verdict.From(err)
	if err == nil {
		a.Version = response.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Applies = append(r.run.Applies, a)
	return a
}

// CancelJobs cancels the jobs that match req, and records which of them the response
// reports as not run.
func (r *Recorder) CancelJobs(ctx context.Context, req structs.CancelRequest) (*structs.CancelResponse, error) {
	out, err := r.HealthyClient().CancelJobs(ctx, req)
	if err == nil {
		r.mu.Lock()
		r.run.Cancels++
		r.run.Cancelled = append(r.run.Cancelled, out.Cancelled...)
		r.mu.Unlock()
	}
	return out, err
}

// Claim records that a job inside its account's guarantee, submitted now, must start
// within UrgentStartBound.
func (r *Recorder) Claim(jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Claims = append(r.run.Claims, Claim{JobID: jobID, Submitted: time.Now(), Bound: UrgentStartBound})
}

// ClaimThroughAllEntries submits a job inside its account's guarantee through every
// entry at once under one request key, like a requester that does not know which
// entries are down. A submission that is refused as not run is repeated until
// UrgentStartBound has passed. It returns when all submissions have ended.
func (r *Recorder) ClaimThroughAllEntries(ctx context.Context, spec structs.JobSpec) {
	r.Claim(structs.JobID(spec.Account, spec.RequestKey))
	until := time.Now().Add(UrgentStartBound)
	var wg sync.WaitGroup
	for _, entry := range r.Cluster.ProcessNames("entry") {
		wg.Go(func() {
			for {
				sub := r.Submit(ctx, "claim", entry, spec, UrgentStartBound)
				if sub.Err == nil || sub.Err.Verdict != verdict.NotRun || time.Now().After(until) || !sleepContext(ctx, 200*time.Millisecond) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// BeginFault records the start of a fault.
func (r *Recorder) BeginFault(kind FaultKind, target, peer string) *Fault {
	f := &Fault{Kind: kind, Target: target, Peer: peer, From: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.Faults = append(r.run.Faults, f)
	return f
}

// EndFault records the end of a fault, and whether it disturbed something.
func (r *Recorder) EndFault(f *Fault, tookEffect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.To, f.TookEffect = time.Now(), f.TookEffect || tookEffect
}

// MarkEffective records that a fault disturbed something.
func (r *Recorder) MarkEffective(f *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.TookEffect = true
}

// ActiveFault returns the latest active fault of one of the kinds on target, or nil.
func (r *Recorder) ActiveFault(target string, kinds ...FaultKind) *Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.run.Faults) - 1; i >= 0; i-- {
		if f := r.run.Faults[i]; f.To.IsZero() && f.Target == target && slices.Contains(kinds, f.Kind) {
			return f
		}
	}
	return nil
}

// Watch records the manifest version of every entry and agent, and the renewals of the
// owner's row, until ctx ends.
func (r *Recorder) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range append(r.Cluster.ProcessNames("entry"), r.Cluster.ProcessNames("agent")...) {
		wg.Go(func() { r.watchVersion(ctx, name) })
	}
	wg.Go(func() { r.watchOwner(ctx) })
	wg.Wait()
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

func (r *Recorder) watchVersion(ctx context.Context, name string) {
	for sleepContext(ctx, watchInterval) {
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		v := VersionRead{Process: name, Call: time.Now()}
		var err error
		v.Version, err = r.Cluster.ManifestVersion(requestCtx, name)
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
	for sleepContext(ctx, watchInterval/5) {
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
		if n := len(r.run.Ownerships); n == 0 || r.run.Ownerships[n-1].Epoch != row.Epoch || r.run.Ownerships[n-1].Entry != row.EntryID {
			r.run.Ownerships = append(r.run.Ownerships, Ownership{Entry: row.EntryID, Epoch: row.Epoch, From: now})
		}
		r.run.Ownerships[len(r.run.Ownerships)-1].Renewed = now
		r.mu.Unlock()
	}
}

// Owner returns the name and epoch of the entry that owns the domain and has finished
// its recovery, or "" if there is none.
func (r *Recorder) Owner(ctx context.Context) (string, uint32) {
	for _, name := range r.Cluster.ProcessNames("entry") {
		if p := r.Cluster.Process(name); p == nil || !p.Alive() || r.ActiveFault(name, Freeze) != nil {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		v, err := r.clients[name].View(requestCtx, "status", r.Cluster.Domain())
		cancel()
		if err == nil && len(v.Domains) == 1 && v.Domains[0].Error == nil && !v.Domains[0].Recovering {
			return v.Domains[0].Owner.EntryID, v.Domains[0].Owner.Epoch
		}
	}
	return "", 0
}

// WaitForTakeover waits until an owner with a higher epoch schedules, and records the
// takeover. from is the time at which the owner of epoch was lost.
func (r *Recorder) WaitForTakeover(ctx context.Context, from time.Time, epoch uint32) (Takeover, error) {
	for {
		if name, now := r.Owner(ctx); name != "" && now > epoch {
			t := Takeover{From: from, To: time.Now()}
			r.mu.Lock()
			// The row expires ownerExpiry after its last renewal. If none was seen,
			// the renewal is taken to be one renewal interval (1 s) before the loss.
			renewed := from.Add(-time.Second)
			for _, o := range r.run.Ownerships {
				if o.Epoch == epoch {
					renewed = o.Renewed
				}
			}
			t.AfterExpiry = t.To.Sub(renewed) - ownerExpiry
			r.takeovers = append(r.takeovers, t)
			r.mu.Unlock()
			return t, nil
		}
		if !sleepContext(ctx, 20*time.Millisecond) {
			return Takeover{}, errors.New("timed out waiting for a new owner")
		}
	}
}

// Takeovers returns the recorded takeovers.
func (r *Recorder) Takeovers() []Takeover {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.takeovers)
}

// Collect waits until every submitted job is in a final state or ctx ends, reads the
// manifests and the workers' histories, and returns the complete record.
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

// acceptedManifests returns the deployment names of all accepted manifests by version.
// The manifest history lists only the newest 100, which a long run exceeds; older
// versions are read one by one.
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
			continue // if the version was accepted, checkRegister reports it as missing
		}
		if err != nil {
			return nil, err
		}
		accepted[v] = m.Deployment
	}
	return accepted, nil
}

// collectJobs reads the final records of all submitted jobs into run.Final.
func (r *Recorder) collectJobs(ctx context.Context) error {
	r.mu.Lock()
	ids := map[string]bool{}
	for _, sub := range r.run.Submissions {
		ids[sub.JobID] = true
	}
	r.run.Final = map[string]*structs.Job{}
	r.mu.Unlock()
	jobs := make(chan string)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for id := range jobs {
				job := r.waitFinal(ctx, id)
				r.mu.Lock()
				r.run.Final[id] = job
				r.mu.Unlock()
			}
		})
	}
	for id := range ids {
		jobs <- id
	}
	close(jobs)
	wg.Wait()
	return nil
}

// waitFinal waits until a job is in a final state, and returns its record. It returns
// the last record seen if ctx ends first, or nil if the job does not exist.
func (r *Recorder) waitFinal(ctx context.Context, id string) *structs.Job {
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
		if !sleepContext(ctx, 100*time.Millisecond) {
			break
		}
	}
	return last
}
