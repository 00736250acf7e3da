package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// failingOwners is a sequence of owners of domain d1 that refuse or lose calls at
// random, and what they know of the one job that is submitted.
type failingOwners struct {
	backend *fakeBackend
	owners  []*fakeOwner // in the order in which they take over

	mu            sync.Mutex
	rng           *rand.Rand
	current       int          // index of the current owner
	durable       bool         // the durable record is written
	inMemory      map[int]bool // by index of the owner: it has the job in memory
	accepted      int
	mayHaveRun    bool // a submission was accepted, or its reply was lost
	resubmissions int  // submissions while mayHaveRun was set
}

// failOwner stops owner i and makes the next one the owner. It is called in a
// handler of owner i, so that the reply of the call is lost.
func (f *failingOwners) failOwner(i int) {
	if i == f.current && i+1 < len(f.owners) {
		f.current++
		f.backend.setOwner("d1", f.owners[f.current], uint32(f.current+1))
		f.owners[i].stop()
	}
}

// onSubmit returns the handler of Domain.Submit of owner i.
func (f *failingOwners) onSubmit(i int, idempotent bool) func(int, *structs.SubmitArgs, *structs.JobReply) {
	return func(_ int, args *structs.SubmitArgs, reply *structs.JobReply) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.mayHaveRun {
			f.resubmissions++
		}
		reply.Job = newRecord(args.Spec, structs.JobRunning)
		known := f.inMemory[i] || f.durable
		switch f.rng.IntN(6) {
		case 0:
			if !known {
				reply.Err = verdict.Refuse(verdict.CodeOverloaded, "the queue is full")
			}
			return
		case 1:
			reply.Err = verdict.Refuse(verdict.CodeNotOwner, "not the owner")
			return
		case 2: // the owner fails before it accepts the job
			f.mayHaveRun = true
			f.failOwner(i)
			return
		case 3: // the owner accepts the job and fails before it replies
			defer f.failOwner(i)
		}
		f.mayHaveRun, f.inMemory[i] = true, true
		if !known {
			f.accepted++
			f.durable = !idempotent || f.rng.IntN(2) == 0
		}
	}
}

// onJob returns the handler of Domain.Job of owner i.
func (f *failingOwners) onJob(i int) func(int, *structs.JobArgs, *structs.JobReply) {
	return func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.rng.IntN(4) == 0 {
			f.failOwner(i)
		}
		if !f.inMemory[i] && !f.durable {
			reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
			return
		}
		reply.Job = finishedRecord(args.ID, []byte("result of "+args.ID))
	}
}

// Guards against the verdict not_run for a job that was accepted, against a second
// submission of a non-idempotent job, and against a wrong or incomplete result.
// Three successive owners fail and refuse calls at random.
func TestRandomOwnerFailures(t *testing.T) {
	for seed := range uint64(60) {
		kind, idempotent := "order", seed%2 == 0
		if idempotent {
			kind = "proof"
		}
		t.Run(fmt.Sprintf("seed %d %s", seed, kind), func(t *testing.T) {
			t.Parallel()
			s, backend := newServer(t, nil)
			f := &failingOwners{backend: backend, rng: rand.New(rand.NewPCG(seed, 0)), inMemory: map[int]bool{}}
			for i := range 3 {
				o := newOwner(t)
				o.onSubmit, o.onJob = f.onSubmit(i, idempotent), f.onJob(i)
				f.owners = append(f.owners, o)
			}
			backend.setOwner("d1", f.owners[0], 1)
			resp := doRequest(t, s, "POST", "/v1/jobs?wait=2s", submitBody("bench", kind, "k"))
			f.mu.Lock()
			defer f.mu.Unlock()
			if resp.err != nil && resp.err.Verdict == verdict.NotRun && f.accepted > 0 {
				t.Errorf("the job was accepted %d times, but the response is %v", f.accepted, resp.err)
			}
			if !idempotent && f.resubmissions > 0 {
				t.Errorf("the job was submitted again %d times after it may have run", f.resubmissions)
			}
			if resp.status == 200 && string(resp.job.Result.Data) != "result of "+structs.JobID("bench", "k") {
				t.Errorf("result %q", resp.job.Result.Data)
			}
			if resp.status == 200 && f.accepted == 0 {
				t.Error("the response has a result, but no owner accepted the job")
			}
		})
	}
}
