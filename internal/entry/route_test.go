package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against a response without the complete result of the submitted job.
func TestSubmitReturnsWholeResult(t *testing.T) {
	s, backend := newServer(t, nil)
	backend.setOwner("d1", newOwner(t), 1)
	resp := doRequest(t, s, "POST", "/v1/jobs?wait=5s", submitBody("bench", "proof", "k1"))
	if resp.status != 200 || resp.job.ID != structs.JobID("bench", "k1") || string(resp.job.Result.Data) != "plan" {
		t.Fatalf("status %d, body %s", resp.status, resp.body)
	}
	if resp.header.Get(structs.HeaderVerdict) != "ran" || resp.job.Spec.Payload != nil {
		t.Errorf("verdict %q, payload %q", resp.header.Get(structs.HeaderVerdict), resp.job.Spec.Payload)
	}
	resp = doRequest(t, s, "GET", "/v1/jobs/"+resp.job.ID+"/result", "")
	if string(resp.body) != "plan" || resp.header.Get("Content-Length") != "4" || resp.header.Get(structs.HeaderAttempt) != "1" ||
		resp.header.Get(structs.HeaderDigest) != "sha-256=:ZIeffWuWCgGQl2LZEaMtRYLCABDFZB7pAni2RKnjtSU=:" {
		t.Errorf("result %q with header %v", resp.body, resp.header)
	}
}

// A client must not receive a result that is truncated, altered, missing or of another
// job.
func TestCorruptResultIsNotDelivered(t *testing.T) {
	id := structs.JobID("bench", "k1")
	for name, bad := range map[string]func(*structs.Job){
		"truncated": func(j *structs.Job) { j.Result.Data = j.Result.Data[:2] },
		"altered":   func(j *structs.Job) { j.Result.Data = []byte("plaN") },
		"missing":   func(j *structs.Job) { j.Result = nil },
		"other job": func(j *structs.Job) { j.ID = structs.JobID("bench", "k2") },
	} {
		for _, kind := range []string{"proof", "order"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				s, backend := newServer(t, nil)
				o := newOwner(t)
				o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
					reply.Job = finishedRecord(args.ID, []byte("plan"))
					bad(&reply.Job)
				}
				backend.setOwner("d1", o, 1)
				resp := doRequest(t, s, "POST", "/v1/jobs?wait=100ms", submitBody("bench", kind, "k1"))
				if resp.status < 500 || resp.err.Verdict == verdict.NotRun {
					t.Fatalf("status %d, error %v", resp.status, resp.err)
				}
				// The durable record has the correct result.
				good := finishedRecord(id, []byte("plan"))
				backend.records[id] = &good
				resp = doRequest(t, s, "GET", "/v1/jobs/"+id, "")
				if resp.status != 200 || string(resp.job.Result.Data) != "plan" {
					t.Fatalf("from the record: status %d, body %s", resp.status, resp.body)
				}
			})
		}
	}
}

// Guards against the loss of an idempotent job with its owner. The job is submitted
// to the new owner with the same request key.
func TestIdempotentJobIsResubmittedAfterOwnerLoss(t *testing.T) {
	for _, moment := range []string{"submit", "wait"} {
		t.Run(moment, func(t *testing.T) {
			s, backend := newServer(t, nil)
			first, second := newOwner(t), newOwner(t)
			failOver := func() { backend.setOwner("d1", second, 2); first.stop() }
			first.onSubmit = func(_ int, args *structs.SubmitArgs, reply *structs.JobReply) {
				if moment == "submit" {
					failOver()
				}
				reply.Job = newRecord(args.Spec, structs.JobRunning)
			}
			first.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) { failOver() }
			second.onJob = func(n int, args *structs.JobArgs, reply *structs.JobReply) {
				if second.submitCalls == 0 {
					reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
					return
				}
				reply.Job = finishedRecord(args.ID, []byte("plan"))
			}
			backend.setOwner("d1", first, 1)
			resp := doRequest(t, s, "POST", "/v1/jobs?wait=5s", submitBody("bench", "proof", "k1"))
			if resp.status != 200 || string(resp.job.Result.Data) != "plan" {
				t.Fatalf("status %d, body %s", resp.status, resp.body)
			}
			if len(second.submitted) != 1 || second.submitted[0].RequestKey != "k1" {
				t.Errorf("submissions to the new owner: %+v", second.submitted)
			}
		})
	}
}

// Guards against a second run of a non-idempotent job. After a lost reply it is only
// looked up.
func TestNonIdempotentJobIsLookedUpAfterOwnerLoss(t *testing.T) {
	id := structs.JobID("bench", "k1")
	done := finishedRecord(id, []byte("plan"))
	waiting := structs.Job{ID: id, Domain: "d1", State: structs.JobPlacing}
	for name, c := range map[string]struct {
		moment string
		after  *structs.Job // record at the new owner, or nil
		row    *structs.Job // durable record, or nil
		status int
		code   verdict.Code
	}{
		"submit, found at new owner": {"submit", &done, nil, 200, ""},
		"submit, found in the table": {"submit", nil, &done, 200, ""},
		"submit, found nowhere":      {"submit", nil, nil, 504, verdict.CodeUnavailable},
		"submit, row not final":      {"submit", nil, &waiting, 504, verdict.CodeUnavailable},
		"wait, found at new owner":   {"wait", &done, nil, 200, ""},
		"wait, found nowhere":        {"wait", nil, nil, 504, verdict.CodeUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, backend := newServer(t, nil)
			first, second := newOwner(t), newOwner(t)
			failOver := func() { backend.setOwner("d1", second, 2); first.stop() }
			first.onSubmit = func(_ int, args *structs.SubmitArgs, reply *structs.JobReply) {
				if c.moment == "submit" {
					failOver()
				}
				reply.Job = newRecord(args.Spec, structs.JobRunning)
			}
			first.onJob = func(int, *structs.JobArgs, *structs.JobReply) { failOver() }
			second.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
				if c.after == nil {
					reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
					return
				}
				reply.Job = *c.after
			}
			if c.row != nil {
				backend.records[id] = c.row
			}
			backend.setOwner("d1", first, 1)
			resp := doRequest(t, s, "POST", "/v1/jobs?wait=500ms", submitBody("bench", "order", "k1"))
			if resp.status != c.status {
				t.Fatalf("status %d, body %s", resp.status, resp.body)
			}
			if c.code != "" && (resp.err.Code != c.code || resp.err.Verdict != verdict.MayHaveRun || resp.ref.State != structs.JobUnknown) {
				t.Errorf("error %+v, job %+v", resp.err, resp.ref)
			}
			if n, _ := second.callCounts(); n != 0 {
				t.Errorf("the job was submitted again %d times", n)
			}
		})
	}
}

// A job must not get the verdict not_run if only the last of several attempts was not run.
func TestNotRunCoversAllTries(t *testing.T) {
	s, backend := newServer(t, nil)
	first, second := newOwner(t), newOwner(t)
	first.onSubmit = func(int, *structs.SubmitArgs, *structs.JobReply) {
		backend.setOwner("d1", second, 2)
		first.stop()
	}
	second.onSubmit = func(_ int, _ *structs.SubmitArgs, reply *structs.JobReply) {
		reply.Err = verdict.Refuse(verdict.CodeOverloaded, "the queue is full")
	}
	backend.setOwner("d1", first, 1)
	resp := doRequest(t, s, "POST", "/v1/jobs?wait=1s", submitBody("bench", "proof", "k1"))
	if resp.status != 504 || resp.err.Code != verdict.CodeOverloaded || resp.err.Verdict != verdict.MayHaveRun {
		t.Fatalf("status %d, error %v", resp.status, resp.err)
	}
	// The same refusal of the only attempt has the verdict NotRun.
	resp = doRequest(t, s, "POST", "/v1/jobs?wait=1s", submitBody("bench", "proof", "k2"))
	if resp.status != 503 || resp.err.Verdict != verdict.NotRun {
		t.Fatalf("status %d, error %v", resp.status, resp.err)
	}
}

// Guards against an accepted job that is reported as not_run because its
// resubmission was refused.
func TestRefusedResubmissionMayHaveRun(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	o.onSubmit = func(n int, args *structs.SubmitArgs, reply *structs.JobReply) {
		if reply.Job = newRecord(args.Spec, structs.JobRunning); n > 1 {
			reply.Err = verdict.Refuse(verdict.CodeOverloaded, "the queue is full")
		}
	}
	o.onJob = func(_ int, _ *structs.JobArgs, reply *structs.JobReply) {
		reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
	}
	backend.setOwner("d1", o, 1)
	resp := doRequest(t, s, "POST", "/v1/jobs?wait=300ms", submitBody("bench", "proof", "k1"))
	if resp.err == nil || resp.err.Verdict != verdict.MayHaveRun {
		t.Fatalf("status %d, body %s", resp.status, resp.body)
	}
}

// Guards against refusing a job that another owner or domain would accept.
func TestRetryAtOtherOwnerOrDomain(t *testing.T) {
	for _, code := range []verdict.Code{verdict.CodeNotOwner, verdict.CodeDraining, verdict.CodeOverloaded} {
		s, backend := newServer(t, nil)
		first, second := newOwner(t), newOwner(t)
		first.onSubmit = func(_ int, _ *structs.SubmitArgs, reply *structs.JobReply) {
			reply.Err = verdict.Refuse(code, "elsewhere")
		}
		first.onJob = func(_ int, _ *structs.JobArgs, reply *structs.JobReply) {
			reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
		}
		backend.setOwner("d1", first, 1)
		backend.setOwner("d2", second, 1)
		resp := doRequest(t, s, "POST", "/v1/jobs?wait=2s", submitBody("press", "proof", "k1"))
		if resp.status != 200 || string(resp.job.Result.Data) != "plan" {
			t.Errorf("%s: status %d, body %s", code, resp.status, resp.body)
		}
	}
	// If the only owner is unreachable, the job is reported as not run after retries
	// until the deadline.
	s, backend := newServer(t, nil)
	stopped := newOwner(t)
	stopped.stop()
	backend.setOwner("d1", stopped, 1)
	resp := doRequest(t, s, "POST", "/v1/jobs", submitBody("bench", "order", "k1"))
	if resp.status != 503 || resp.err.Verdict != verdict.NotRun || resp.err.Code != verdict.CodeUnavailable {
		t.Errorf("status %d, error %v", resp.status, resp.err)
	}
}

// A response must not contain the late reply of an earlier RPC call.
func TestLateReplyIsNotDeliveredToOtherRequest(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	release := make(chan struct{})
	o.onJob = func(n int, args *structs.JobArgs, reply *structs.JobReply) {
		if args.ID == structs.JobID("bench", "slow") {
			<-release
		}
		reply.Job = finishedRecord(args.ID, []byte(args.ID))
	}
	backend.setOwner("d1", o, 1)
	var wg sync.WaitGroup
	wg.Go(func() { doRequest(t, s, "POST", "/v1/jobs?wait=50ms", submitBody("bench", "proof", "slow")) })
	for i := range 20 {
		wg.Go(func() {
			key := fmt.Sprintf("k%d", i)
			resp := doRequest(t, s, "POST", "/v1/jobs?wait=5s", submitBody("bench", "proof", key))
			if id := structs.JobID("bench", key); resp.job.Result == nil || string(resp.job.Result.Data) != id {
				t.Errorf("response for %s: %s", id, resp.body)
			}
			if i == 10 {
				close(release)
			}
		})
	}
	wg.Wait()
}

// Concurrent requests with the same request key must share one submission, but different
// jobs must not.
func TestConcurrentDuplicatesShareOneSubmission(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	o.onSubmit = func(_ int, args *structs.SubmitArgs, reply *structs.JobReply) {
		time.Sleep(100 * time.Millisecond)
		reply.Job = newRecord(args.Spec, structs.JobRunning)
		if args.Spec.Kind != "order" {
			reply.Err = verdict.Refuse(verdict.CodeKeyReused, "the key was used with another job")
		}
	}
	backend.setOwner("d1", o, 1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if resp := doRequest(t, s, "POST", "/v1/jobs?wait=5s", submitBody("bench", "order", "k1")); resp.status != 200 {
				t.Errorf("status %d, body %s", resp.status, resp.body)
			}
		})
	}
	wg.Go(func() {
		resp := doRequest(t, s, "POST", "/v1/jobs?wait=5s", submitBody("bench", "proof", "k1"))
		if resp.status != 409 || resp.err.Code != verdict.CodeKeyReused {
			t.Errorf("different job with the same key: status %d, body %s", resp.status, resp.body)
		}
	})
	wg.Wait()
	if n, _ := o.callCounts(); n != 2 {
		t.Errorf("%d submissions, want 2", n)
	}
}

// Guards against returning a different job with the same request key after the
// reply to the submission was lost.
func TestLookupDetectsReusedRequestKey(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	o.onSubmit = func(_ int, _ *structs.SubmitArgs, reply *structs.JobReply) {
		reply.Err = verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "the reply was lost")
	}
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		reply.Job = finishedRecord(args.ID, []byte("plan"))
		reply.Job.Spec = structs.JobSpec{Kind: "order", Payload: []byte("other")}
	}
	backend.setOwner("d1", o, 1)
	resp := doRequest(t, s, "POST", "/v1/jobs?wait=1s", submitBody("bench", "order", "k1"))
	if resp.err == nil || resp.err.Code != verdict.CodeKeyReused {
		t.Fatalf("status %d, body %s", resp.status, resp.body)
	}
}

// Guards against a merged submission that ends when the client of its first request
// disconnects.
func TestMergedSubmissionOutlivesFirstCaller(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	started := make(chan struct{})
	o.onSubmit = func(_ int, args *structs.SubmitArgs, reply *structs.JobReply) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		reply.Job = newRecord(args.Spec, structs.JobRunning)
	}
	backend.setOwner("d1", o, 1)
	sub := &submission{requestKey: "k1", spec: structs.JobSpec{Account: "bench", Kind: "order", RequestKey: "k1"}, domains: []string{"d1"}}
	firstCtx, disconnect := context.WithCancel(context.Background())
	go s.sendMerged(firstCtx, sub, true)
	<-started
	disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if job, err := s.sendMerged(ctx, sub, true); err != nil || job.State != structs.JobRunning {
		t.Fatalf("job %+v, error %v", job, err)
	}
}
