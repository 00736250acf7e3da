package manifest

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func setFaults(t *testing.T, s *platformstub.Server, f platformstub.Faults) {
	t.Helper()
	if err := s.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// registerState is the state of the model: the version in force and the operation that
// wrote it.
type registerState struct {
	version uint64
	writer  string
}

// registerOp is an Apply (with parent and writer) or a Load.
type registerOp struct {
	load   bool
	parent uint64
	writer string
}

func (o registerOp) String() string {
	if o.load {
		return "load"
	}
	return fmt.Sprintf("apply %s on %d", o.writer, o.parent)
}

type registerResult struct {
	state   registerState // of a successful operation
	verdict verdict.Verdict
}

// registerModel models the store as a register, which an Apply replaces if its parent is in
// force. An Apply with the verdict MayHaveRun takes effect at some time or never.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, op, r := state.(registerState), input.(registerOp), output.(registerResult)
		next := registerState{op.parent + 1, op.writer}
		switch {
		case op.load && r.state == s:
			return []any{s}
		case op.load:
			return nil
		case r.verdict == verdict.Ran && s.version == op.parent && r.state == next:
			return []any{next}
		case r.verdict == verdict.Ran:
			return nil
		case r.verdict == verdict.MayHaveRun && s.version == op.parent:
			return []any{s, next}
		}
		return []any{s}
	},
}

// raceOperators runs three operators that apply manifests and a reader that loads them
// concurrently. It returns the operations and their number by verdict.
func raceOperators(t *testing.T, server *platformstub.Server, m *structs.Manifest, seed uint64) (ops []porcupine.Operation, counts map[verdict.Verdict]int) {
	var mu sync.Mutex
	var clock atomic.Int64
	counts = map[verdict.Verdict]int{}
	record := func(client int, op registerOp, call func() registerResult) {
		start := clock.Add(1)
		r := call()
		end := clock.Add(1)
		if r.verdict == verdict.MayHaveRun {
			end = math.MaxInt64 // it may still take effect at any time
		}
		mu.Lock()
		defer mu.Unlock()
		counts[r.verdict]++
		ops = append(ops, porcupine.Operation{ClientId: client, Input: op, Call: start, Output: r, Return: end})
	}
	var wg sync.WaitGroup
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		store := &Store{Table: server.InProcess()}
		wg.Go(func() {
			for i := range 12 {
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+random.IntN(2000))*time.Millisecond)
				current, err := store.Load(ctx)
				if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
					cancel()
					continue
				}
				next := *m
				if current != nil {
					next.Parent = current.Version
				}
				if client == 3 {
					record(client, registerOp{load: true}, func() registerResult { return loadResult(ctx, store) })
					cancel()
					continue
				}
				next.Deployment = fmt.Sprintf("op-%d-%d", client, i)
				record(client, registerOp{parent: next.Parent, writer: next.Deployment}, func() registerResult {
					accepted, err := store.Apply(ctx, &next)
					if err != nil {
						return registerResult{verdict: verdict.Of(err)}
					}
					return registerResult{registerState{accepted.Version, accepted.Deployment}, verdict.Ran}
				})
				cancel()
			}
		})
	}
	wg.Wait()
	server.WaitForLateWrites()
	return ops, counts
}

func loadResult(ctx context.Context, store *Store) registerResult {
	m, err := store.Load(ctx)
	if err != nil || m == nil {
		// A failed load gives no information; the caller leaves it out of the check.
		return registerResult{verdict: verdict.NotRun}
	}
	return registerResult{registerState{m.Version, m.Deployment}, verdict.Ran}
}

// Guards against two operators that both replace the same version, and against an Apply that
// took effect but is reported as not run, when operators race and answers are lost.
func TestConcurrentApplyIsLinearizable(t *testing.T) {
	m := mustDecode(t, readExample(t, "al-wusta.yaml"))
	for seed := range uint64(15) {
		var ops []porcupine.Operation
		var counts map[verdict.Verdict]int
		var counters platformstub.Counters
		synctest.Test(t, func(t *testing.T) {
			server := platformstub.New(platformstub.Options{})
			setFaults(t, server, platformstub.Faults{LoseAnswers: 0.5, LateWrites: 0.25, LateMS: 300, SlowMS: 8, Seed: seed})
			ops, counts = raceOperators(t, server, m, seed)
			setFaults(t, server, platformstub.Faults{})
			checkChain(t, &Store{Table: server.InProcess()})
			counters = server.Counters()
		})
		model := registerModel.ToModel()
		// Leave out failed loads, which give no information about the register.
		checked := ops[:0:0]
		for _, op := range ops {
			if !op.Input.(registerOp).load || op.Output.(registerResult).verdict == verdict.Ran {
				checked = append(checked, op)
			}
		}
		result := porcupine.CheckOperationsTimeout(model, checked, 20*time.Second)
		t.Logf("seed %d: %d operations (%d done, %d refused, %d uncertain), %d answers lost, %d writes late: %s",
			seed, len(ops), counts[verdict.Ran], counts[verdict.NotRun], counts[verdict.MayHaveRun], counters.FaultLost, counters.FaultLate, result)
		if counters.FaultLost == 0 || counters.FaultLate == 0 || counts[verdict.NotRun] == 0 {
			t.Errorf("seed %d: want at least one lost answer, one late write and one conflict of operators", seed)
		}
		if result != porcupine.Ok {
			var list strings.Builder
			for _, op := range checked {
				fmt.Fprintf(&list, "%d [%d, %d] %v: %+v\n", op.ClientId, op.Call, op.Return, op.Input, op.Output)
			}
			t.Fatalf("seed %d: not linearizable, faults %+v\n%s", seed, counters, list.String())
		}
	}
}

// checkChain fails unless the history is an unbroken chain of versions that ends with the
// version in force.
func checkChain(t *testing.T, store *Store) {
	current, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	history, err := store.History(t.Context(), MaxHistoryVersions)
	if err != nil || uint64(len(history)) != current.Version || history[0].Document.Deployment != current.Deployment {
		t.Fatalf("history of %d versions, %v", len(history), err)
	}
	for i, r := range history {
		if r.Version != current.Version-uint64(i) || r.Parent+1 != r.Version || r.Document.Version != r.Version {
			t.Errorf("history[%d] is version %d with parent %d", i, r.Version, r.Parent)
		}
	}
}

// Guards against storing an inadmissible or invalid manifest, accepting a wrong parent, and
// a history that grows without limit.
func TestApplyRejectsInvalidAndLimitsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformstub.New(platformstub.Options{})
		ctx := t.Context()
		admit := error(nil)
		store := &Store{Table: server.InProcess(), Admit: func(*structs.Manifest) (map[string]int, error) {
			return map[string]int{"muscat": 1}, admit
		}}
		if _, err := store.Load(ctx); !verdict.HasCode(err, verdict.CodeNotFound) {
			t.Errorf("load from an empty table: %v", err)
		}
		m := mustDecode(t, readExample(t, "al-wusta.yaml"))
		m.Accounts, m.Kinds = m.Accounts[:1], m.Kinds[:1] // a smaller manifest makes a thousand versions faster
		for version := uint64(1); version <= MaxHistoryVersions+5; version++ {
			accepted, err := store.Apply(ctx, m)
			if err != nil || accepted.Version != version || accepted.Parent != version-1 {
				t.Fatalf("version %d: %+v, %v", version, accepted, err)
			}
			m = accepted
			m.Parent = version
		}
		if h, err := store.History(ctx, 3); err != nil || len(h) != 3 || h[0].Version != MaxHistoryVersions+5 || h[2].Version != MaxHistoryVersions+3 {
			t.Errorf("history: %d records, %v", len(h), err)
		}
		if rows, err := store.Table.List(ctx, historyPrefix, "", 5000); err != nil || len(rows) != MaxHistoryVersions {
			t.Errorf("%d history rows, %v", len(rows), err)
		}
		for _, have := range []uint64{0, 900, MaxHistoryVersions + 4, MaxHistoryVersions + 5} {
			newer, err := store.LoadNewer(ctx, have)
			if err != nil || (newer != nil) != (have < MaxHistoryVersions+5) || newer != nil && newer.Version != MaxHistoryVersions+5 {
				t.Errorf("newer than %d: %v, %v", have, newer, err)
			}
		}
		writes := server.Counters().Writes
		stale := *m
		stale.Parent = 7
		if _, err := store.Apply(ctx, &stale); !verdict.HasCode(err, verdict.CodeConflict) || verdict.Of(err) != verdict.NotRun {
			t.Errorf("stale parent: %v", err)
		}
		invalid := *m
		invalid.Weights = structs.Weights{}
		if _, err := store.Apply(ctx, &invalid); len(FieldErrors(err)) != 1 {
			t.Errorf("invalid: %v", err)
		}
		admit = verdict.Refuse(verdict.CodeInadmissible, "does not pack")
		if _, err := store.Apply(ctx, m); !verdict.HasCode(err, verdict.CodeInadmissible) {
			t.Errorf("inadmissible: %v", err)
		}
		admit = nil
		setFaults(t, server, platformstub.Faults{TableDown: true})
		if _, err := store.Apply(ctx, m); verdict.Of(err) != verdict.NotRun || !verdict.HasCode(err, verdict.CodePlatformUnavailable) {
			t.Errorf("outage: %v", err)
		}
		if server.Counters().Writes != writes {
			t.Error("a refused manifest was written")
		}
	})
}

// Guards against writing the document twice, and against failing to read a current row of an
// earlier release, which contains the document.
func TestCurrentRowHasNoDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformstub.New(platformstub.Options{})
		ctx := t.Context()
		store := &Store{Table: server.InProcess()}
		m := mustDecode(t, readExample(t, "al-wusta.yaml"))
		m.Version = 1
		old, err := json.Marshal(Record{Version: 1, Writer: "w", Document: m})
		if err != nil {
			t.Fatal(err)
		}
		puts := []platformclient.Put{{Key: currentKey, Value: old}, {Key: historyKey(1), Value: old}}
		if _, err := store.Table.Commit(ctx, platformclient.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		if loaded, err := store.Load(ctx); err != nil || loaded.Version != 1 || len(loaded.Accounts) != len(m.Accounts) {
			t.Fatalf("row of an earlier release: %+v, %v", loaded, err)
		}
		m.Parent = 1
		if accepted, err := store.Apply(ctx, m); err != nil || accepted.Version != 2 {
			t.Fatalf("apply after a row of an earlier release: %+v, %v", accepted, err)
		}
		row, err := store.Table.Get(ctx, currentKey)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := json.Unmarshal(row.Value, &fields); err != nil || fields["version"] != 2. || fields["parent"] != 1. || fields["writer"] == "" {
			t.Errorf("current row %s, %v", row.Value, err)
		}
		if _, ok := fields["document"]; ok || len(row.Value) > 200 {
			t.Errorf("the current row has %d bytes, fields %v", len(row.Value), fields)
		}
		if loaded, err := store.Load(ctx); err != nil || loaded.Version != 2 || len(loaded.Accounts) != len(m.Accounts) {
			t.Errorf("load: %+v, %v", loaded, err)
		}
		if newer, err := store.LoadNewer(ctx, 1); err != nil || newer.Version != 2 {
			t.Errorf("newer than 1: %+v, %v", newer, err)
		}
	})
}

// Guards against reading one version by listing all documents, which for manifests of the
// size that the system is designed for exceeds the size limit of an answer, and against
// returning another version.
func TestLoadVersionReadsOneRow(t *testing.T) {
	s := platformstub.New(platformstub.Options{})
	store := &Store{Table: s.InProcess()}
	next := mustDecode(t, readExample(t, "al-wusta.yaml"))
	for parent := range uint64(3) {
		next.Parent, next.Deployment = parent, fmt.Sprintf("d%d", parent+1)
		if _, err := store.Apply(t.Context(), next); err != nil {
			t.Fatal(err)
		}
	}
	before := s.Counters().RowsRead
	m, err := store.LoadVersion(t.Context(), 2)
	if err != nil || m.Version != 2 || m.Deployment != "d2" || s.Counters().RowsRead != before+1 {
		t.Errorf("manifest %+v, error %v, %d rows read", m, err, s.Counters().RowsRead-before)
	}
	if _, err := store.LoadVersion(t.Context(), 4); !verdict.HasCode(err, verdict.CodeNotFound) {
		t.Errorf("version that does not exist: %v", err)
	}
}
