package history

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// checkTimeout limits the search for a linearization of one history.
const checkTimeout = 20 * time.Second

// linearize returns a violation unless the history is linearizable under the model.
func linearize(what string, m porcupine.Model, history []porcupine.Operation) []string {
	for i := range history {
		history[i].ClientId = i
	}
	switch porcupine.CheckOperationsTimeout(m, history, checkTimeout) {
	case porcupine.Illegal:
		return []string{what + ": the history is not linearizable"}
	case porcupine.Unknown:
		return []string{what + ": the linearizability check timed out"}
	}
	return nil
}

// latestEffect returns the latest time at which an operation can take effect. If its
// outcome is unknown because the response was lost, there is no limit.
func latestEffect(ret time.Time, unknown bool) int64 {
	if unknown {
		return math.MaxInt64
	}
	return ret.UnixNano()
}

// register is the state of the manifest register: the version in force and its
// document.
type register struct {
	version  uint64
	document string
}

type registerInput struct {
	read     bool
	parent   uint64
	document string
}

type registerOutput struct {
	version  uint64 // accepted or read
	document string // read
	conflict bool
	unknown  bool // the response does not say whether the manifest was accepted
}

// registerModel is a compare-and-set register whose version increases by one with
// each accepted manifest.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(registerInput), output.(registerOutput)
		if in.read {
			return s == register{out.version, out.document}, s
		}
		next := register{s.version + 1, in.document}
		switch {
		case out.unknown && s.version != in.parent:
			return true, s
		case out.unknown:
			return true, next
		case out.conflict:
			return s.version != in.parent, s
		}
		return s.version == in.parent && out.version == next.version, next
	},
}

// checkRegister checks the attempts to apply a manifest against a compare-and-set
// register that is read once at the end: no accepted manifest may be lost or replaced.
// The attempts include those that ended with a conflict or an unknown outcome, but not
// those refused for another reason.
func (r *Run) checkRegister() []string {
	var history []porcupine.Operation
	var violations []string
	lastReturn := time.Time{}
	for _, a := range r.Applies {
		if lastReturn.Before(a.Return) {
			lastReturn = a.Return
		}
		out := registerOutput{version: a.Version}
		if a.Err != nil {
			out.conflict = a.Err.Code == verdict.CodeConflict && a.Err.Verdict == verdict.NotRun
			out.unknown = a.Err.Verdict != verdict.NotRun
			if !out.conflict && !out.unknown {
				continue // refused for another reason, which says nothing about the register
			}
		} else if doc, ok := r.Accepted[a.Version]; r.Accepted != nil && (!ok || doc != a.Document) {
			violations = append(violations, fmt.Sprintf("version %d was accepted as %q, and is %q in the table", a.Version, a.Document, doc))
		}
		history = append(history, porcupine.Operation{
			Input: registerInput{parent: a.Parent, document: a.Document}, Output: out,
			Call: a.Call.UnixNano(), Return: latestEffect(a.Return, out.unknown),
		})
	}
	if len(r.Accepted) > 0 {
		latestVersion := uint64(0)
		for v := range r.Accepted {
			latestVersion = max(latestVersion, v)
		}
		history = append(history, porcupine.Operation{
			Input: registerInput{read: true}, Output: registerOutput{version: latestVersion, document: r.Accepted[latestVersion]},
			Call: lastReturn.UnixNano() + 1, Return: lastReturn.UnixNano() + 2,
		})
	}
	return append(violations, linearize("manifest register", registerModel, history)...)
}

// keyBinding is the state of a request key: the payload of the job that was accepted
// under it and, once known, the checksum of the result.
type keyBinding struct{ payload, result string }

// keyOutput is the outcome of a submission: refused because the key belongs to
// another payload (reused), refused for another reason, unknown, or accepted, with
// the checksum of the result if there is one.
type keyOutput struct {
	reused, unknown, refused bool
	result                   string
}

// keyModel binds a request key to the first accepted payload and to a single result.
var keyModel = porcupine.Model{
	Init: func() any { return keyBinding{} },
	Step: func(state, input, output any) (bool, any) {
		s, payload, out := state.(keyBinding), input.(string), output.(keyOutput)
		switch {
		case out.reused:
			return s.payload != "" && s.payload != payload, s
		case out.refused:
			return true, s
		case out.unknown:
			if s.payload == "" {
				s.payload = payload
			}
			return true, s
		}
		if s.payload != "" && s.payload != payload || out.result != "" && s.result != "" && s.result != out.result {
			return false, s
		}
		s.payload = payload
		if out.result != "" {
			s.result = out.result
		}
		return true, s
	},
}

// checkKeys checks that every request key stood for one payload and one result.
func (r *Run) checkKeys() []string {
	keys := map[string][]porcupine.Operation{}
	for _, sub := range r.Submissions {
		out := keyOutput{}
		switch {
		case sub.Idempotent && r.acceptedWithoutTable(sub):
			// Two owners that cannot reach the table can accept different payloads of
			// idempotent jobs under one key (docs/design.md, section 6). Such a
			// submission may or may not have bound the key.
			out.unknown = true
		case sub.Err != nil && sub.Err.Code == verdict.CodeKeyReused:
			out.reused = true
		case sub.Err != nil && sub.Err.Verdict == verdict.NotRun:
			out.refused = true
		case sub.Err != nil:
			out.unknown = true
		case sub.Job.State == structs.JobFinished && sub.Job.Result != nil:
			out.result = sub.Job.Result.SHA256
		}
		keys[sub.JobID] = append(keys[sub.JobID], porcupine.Operation{
			Input: string(sub.Spec.Payload) + "/" + sub.Spec.Kind, Output: out, Call: sub.Call.UnixNano(), Return: latestEffect(sub.Return, out.unknown),
		})
	}
	var violations []string
	for id, history := range keys {
		if len(history) > 1 {
			for _, v := range linearize("request key of "+id, keyModel, history) {
				violations = append(violations, v+r.describeSubmissions(id))
			}
		}
	}
	return violations
}

// tableReconnectDelay is how long after the end of a fault an entry may still be unable
// to use the table: a call that began during the fault times out after 1 s, and the
// circuit breaker then stays open for up to 1 s.
const tableReconnectDelay = 2 * time.Second

// acceptedWithoutTable reports whether the owner that accepted the job may have been
// unable to reach the table while the submission was in progress: because of a fault
// of the table itself, or of the link between the platform and the owner.
func (r *Run) acceptedWithoutTable(sub *Submission) bool {
	for _, f := range r.Faults {
		if !f.ActiveBetween(sub.Call.Add(-tableReconnectDelay), sub.Return) {
			continue
		}
		entry := f.Target
		if entry == cluster.PlatformName {
			entry = f.Peer
		}
		if f.AffectsTable || f.Peer != "" && (f.Target == cluster.PlatformName || f.Peer == cluster.PlatformName) && r.ownedDomain(entry, f.From, sub.Return) {
			return true
		}
	}
	return false
}

// ownedDomain reports whether the entry owned the domain at any time from a to b.
func (r *Run) ownedDomain(entry string, a, b time.Time) bool {
	for i, t := range r.Ownerships {
		if t.Entry == entry && !t.From.After(b) && (i+1 == len(r.Ownerships) || !r.Ownerships[i+1].From.Before(a)) {
			return true
		}
	}
	return false
}

// describeSubmissions lists the submissions of a job, one per line.
func (r *Run) describeSubmissions(id string) string {
	text := ""
	for _, sub := range r.Submissions {
		if sub.JobID != id {
			continue
		}
		text += fmt.Sprintf("\n      %s +%d ms payload %d bytes: ", sub.Call.Format("05.000"), sub.Return.Sub(sub.Call).Milliseconds(), len(sub.Spec.Payload))
		if sub.Err != nil {
			text += sub.Err.Error()
		} else {
			text += fmt.Sprintf("%s, attempt %d, %s", sub.Job.State, sub.Job.Attempt, sub.Job.Verdict)
		}
	}
	return text
}

type occupancyInput struct {
	start bool
	task  string
}

// occupancyModel is the state of one accelerator: free ("") or held by one task.
var occupancyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		holder, in := state.(string), input.(occupancyInput)
		if in.start {
			return holder == "", in.task
		}
		return holder == in.task, ""
	},
}

// checkOccupancy checks that each accelerator ran one task at a time. The position of
// an event in the worker's history serves as its time, since a worker records events
// in the order in which they took effect.
func (r *Run) checkOccupancy() []string {
	type location struct {
		worker      string
		accelerator int
	}
	histories := map[location][]porcupine.Operation{}
	for _, t := range r.Tasks {
		for _, a := range t.Accelerators {
			p := location{t.Worker, a}
			task := fmt.Sprintf("%s/%d", t.GangID, t.Rank)
			add := func(start bool, seq int) {
				histories[p] = append(histories[p], porcupine.Operation{Input: occupancyInput{start, task}, Call: int64(2 * seq), Return: int64(2*seq + 1)})
			}
			add(true, t.seq[0])
			if !t.End.IsZero() {
				add(false, t.seq[1])
			}
		}
	}
	var violations []string
	for p, h := range histories {
		violations = append(violations, linearize(fmt.Sprintf("accelerator %d of %s", p.accelerator, p.worker), occupancyModel, h)...)
	}
	slices.Sort(violations)
	return violations
}
