package evacuation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{Bound: 5 * time.Second, Contact: 4 * time.Second}

var testZones = []string{"a", "b"}

// storedRow is a change of a row in the store of the model.
type storedRow struct {
	Row
	at time.Duration
}

// interval is the time for which a zone was evacuated, or the store was impaired; to is
// negative while that lasts.
type interval struct{ from, to time.Duration }

func (i interval) covers(from, to time.Duration) bool {
	return i.from <= to && (i.to < 0 || i.to > from)
}

// process is an entry or an agent of the model. Its clock runs up to 2% slow or fast.
type process struct {
	offset time.Duration
	rate   float64
	set    Set
	// failedAt is when the newest read began that failed, on the clock; refused is set while
	// the last read failed.
	failedAt time.Duration
	failed   bool
	refused  bool
}

func (p *process) clock(real time.Duration) time.Duration {
	return p.offset + time.Duration(p.rate*float64(real))
}

// read is a read of the store, or a question to a peer, in progress.
type read struct {
	by       *process
	began    time.Duration // on the clock of by
	after    uint64
	list     bool
	answered bool
	rows     []Row
	version  uint64
	asOf     time.Duration
	peer     bool
	known    bool
}

// order is an order to start a task in a zone, as the agent holds it.
type order struct {
	zone    string
	agent   *process
	expires time.Duration // on the clock of the agent
}

// model plays entries that learn of requests in any order, owners that change at any time, and
// orders that are late in any way. It takes every start that the limits allow as late as they
// allow it, and checks the rule.
type model struct {
	rng      *rand.Rand
	now      time.Duration
	history  []storedRow
	rows     map[string]uint64
	version  uint64
	zones    map[string][]interval
	down     []interval
	entries  []*process
	agents   []*process
	reads    []*read
	orders   []order
	starts   int
	outages  int
	nearEnds int
}

func newModel(t *rapid.T) *model {
	// The draws of rapid prefer small values, which would make some actions rare.
	m := &model{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: 10 * time.Second, rows: map[string]uint64{}, zones: map[string][]interval{}}
	newProcess := func() *process {
		return &process{
			offset: time.Duration(m.rng.IntN(100)) * time.Second,
			rate:   float64(980+m.rng.IntN(41)) / 1000,
		}
	}
	for range 3 {
		m.entries = append(m.entries, newProcess())
	}
	for range 2 {
		m.agents = append(m.agents, newProcess())
	}
	return m
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func (m *model) isDown() bool { return len(m.down) > 0 && m.down[len(m.down)-1].to < 0 }

func (m *model) entry(t *rapid.T) *process { return pick(m.rng, m.entries) }
func (m *model) zone(t *rapid.T) string    { return pick(m.rng, testZones) }

func (m *model) write(r Row) {
	m.version++
	r.Version = m.version
	m.history = append(m.history, storedRow{r, m.now})
	if r.Withdrawn {
		delete(m.rows, r.Zone)
	} else {
		m.rows[r.Zone] = r.Version
	}
}

func (m *model) advance(t *rapid.T) {
	m.now += time.Duration(pick(m.rng, []int{1, 20, 200, 900, 2500, 6000})) * time.Millisecond
}

func (m *model) request(t *rapid.T) {
	zone := m.zone(t)
	if m.isDown() {
		return
	}
	if m.rows[zone] == 0 {
		m.zones[zone] = append(m.zones[zone], interval{m.now, -1})
	}
	m.write(Row{Zone: zone}) // a request may be repeated
}

func (m *model) withdraw(t *rapid.T) {
	zone := m.zone(t)
	if m.isDown() || m.rows[zone] == 0 {
		return
	}
	of := m.zones[zone]
	of[len(of)-1].to = m.now
	m.write(Row{Zone: zone, Withdrawn: true})
}

// other is a write of another row, which only raises the version.
func (m *model) other(*rapid.T) { m.version++ }

func (m *model) impair(*rapid.T) {
	if m.isDown() {
		m.down[len(m.down)-1].to = m.now
	} else {
		m.down = append(m.down, interval{m.now, -1})
	}
}

// impairRarely changes the state of the store: it is impaired for a fifth of the time.
func (m *model) impairRarely(t *rapid.T) {
	if m.isDown() || m.rng.IntN(5) == 0 {
		m.impair(t)
	}
}

func (m *model) restart(t *rapid.T) {
	e := m.entry(t)
	e.set, e.failed, e.refused = Set{}, false, false
	m.reads = slices.DeleteFunc(m.reads, func(r *read) bool { return r.by == e })
}

func (m *model) beginRead(t *rapid.T) {
	e := m.entry(t)
	_, complete, known := e.set.Rows()
	m.reads = append(m.reads, &read{by: e, began: e.clock(m.now), after: complete, list: !known || m.rng.IntN(2) == 0})
}

// askPeer asks a peer. Its answer is what it knows when the read is answered.
func (m *model) askPeer(t *rapid.T) {
	e := m.entry(t)
	m.reads = append(m.reads, &read{by: e, began: e.clock(m.now), peer: true})
}

// answerRead fixes what a read will deliver, or makes it fail if the store is impaired.
func (m *model) answerRead(t *rapid.T) {
	if r := m.anyRead(t); r != nil && !r.answered {
		m.answer(t, r)
	}
}

func (m *model) answer(t *rapid.T, r *read) {
	switch {
	case r.peer:
		peer := m.entry(t)
		r.rows, r.version, r.known = peer.set.Rows()
		// The age is that of the view at the peer now.
		r.asOf = r.began - (peer.clock(m.now) - peer.set.asOf)
		r.answered = true
	case m.isDown():
		r.by.failedAt, r.by.failed, r.by.refused = max(r.by.failedAt, r.began), true, true
		m.dropRead(r)
	default:
		m.fill(r)
	}
}

// fill sets what the store answers to a read now.
func (m *model) fill(r *read) {
	r.answered, r.known, r.version, r.asOf = true, true, m.version, r.began
	for _, h := range m.history {
		if !r.list && h.Version > r.after {
			r.rows = append(r.rows, h.Row)
		}
	}
	for zone, version := range m.rows {
		if r.list {
			r.rows = append(r.rows, Row{Zone: zone, Version: version})
		}
	}
}

// readNow is a read that is answered at once.
func (m *model) readNow(t *rapid.T) {
	m.beginRead(t)
	r := m.reads[len(m.reads)-1]
	m.answer(t, r)
	if r.answered {
		m.dropRead(r)
		m.apply(r)
	}
}

func (m *model) anyRead(t *rapid.T) *read {
	if len(m.reads) == 0 {
		return nil
	}
	return pick(m.rng, m.reads)
}

func (m *model) dropRead(r *read) {
	m.reads = slices.DeleteFunc(m.reads, func(other *read) bool { return other == r })
}

func (m *model) deliverRead(t *rapid.T) {
	r := m.anyRead(t)
	if r == nil || !r.answered {
		return
	}
	m.dropRead(r)
	m.apply(r)
}

func (m *model) apply(r *read) {
	now := r.by.clock(m.now)
	switch {
	case !r.known:
		r.by.set.Apply(r.rows, 0, 0, 0, now)
	case r.peer || r.list:
		r.by.set.Complete(r.rows, r.version, r.asOf, now)
	default:
		r.by.set.Apply(r.rows, r.after, r.version, r.asOf, now)
	}
	if !r.peer {
		r.by.refused = false
	}
}

// confirmOutage makes an entry believe that the store answers nobody, if the last read of each
// entry failed, which may be long ago.
func (m *model) confirmOutage(t *rapid.T) {
	owner := m.entry(t)
	var newest time.Duration
	for _, e := range m.entries {
		if !e.refused || !e.failed {
			return
		}
		newest = max(newest, owner.clock(m.now)-(e.clock(m.now)-e.failedAt))
		owner.set.OutageAt(newest)
	}
	m.outages++
}

// orderStart makes any entry act as owner.
func (m *model) orderStart(t *rapid.T) {
	owner, agent, zone := m.entry(t), pick(m.rng, m.agents), m.zone(t)
	until, ok := testLimits.Until(owner.set.View(), zone)
	received := owner.clock(m.now)
	if !ok || until <= received {
		return
	}
	// The agent's call was sent up to 0.5 s earlier; the order arrives whenever it does.
	sent := agent.clock(m.now - time.Duration(m.rng.IntN(500))*time.Millisecond)
	m.orders = append(m.orders, order{zone, agent, sent + until - received})
}

// start carries out an order, if the agent still may, and checks the rule. The call takes up to
// CallMargin.
func (m *model) start(t *rapid.T) {
	m.orders = slices.DeleteFunc(m.orders, func(o order) bool { return o.agent.clock(m.now) > o.expires })
	if len(m.orders) == 0 {
		return
	}
	o := pick(m.rng, m.orders)
	if m.rng.IntN(2) == 0 {
		if left := time.Duration(float64(o.expires-o.agent.clock(m.now)) / o.agent.rate); left > 0 {
			m.now += left
		}
	}
	if o.agent.clock(m.now) > o.expires {
		return
	}
	m.starts++
	at := m.now + time.Duration(pick(m.rng, []int{0, 300}))*time.Millisecond
	for _, down := range m.down {
		if down.covers(at-testLimits.Contact, at) {
			return // the rule does not hold
		}
	}
	for _, e := range m.zones[o.zone] {
		if since := at - e.from; e.covers(at, at) && since > 0 {
			if m.nearEnds++; since > testLimits.Bound {
				t.Fatalf("a start in zone %s %v after the request", o.zone, since)
			}
		}
	}
}

// check checks that an entry that reads the store now knows exactly the present requests.
func (m *model) check(t *rapid.T) {
	if m.isDown() {
		return
	}
	for i, e := range m.entries {
		probe := &process{offset: e.offset, rate: e.rate, set: e.set}
		probe.set.zones = maps.Clone(e.set.zones)
		_, complete, known := probe.set.Rows()
		r := &read{by: probe, after: complete, list: !known, began: e.clock(m.now)}
		m.fill(r)
		m.apply(r)
		view := r.by.set.View()
		for _, zone := range testZones {
			if got, want := view.Evacuated(zone), m.rows[zone] > 0; got != want {
				t.Fatalf("entry %d has zone %s as evacuated: %v, want %v", i, zone, got, want)
			}
		}
	}
}

// Guards against any start that breaks the rule because a request, a withdrawal, an answer, a
// peer, an order or a call is late, lost or out of order, because an entry restarted or took
// over, or because clocks run slow, and against a zone that stays evacuated after that.
func TestNoStartAfterBound(t *testing.T) {
	starts, nearEnds, outages := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(*rapid.T){
			m.advance, m.advance, m.request, m.withdraw, m.other, m.restart, m.beginRead, m.beginRead, m.askPeer, m.askPeer, m.answerRead, m.answerRead, m.answerRead, m.answerRead,
			m.deliverRead, m.deliverRead, m.deliverRead, m.deliverRead, m.readNow, m.readNow, m.confirmOutage, m.orderStart, m.orderStart, m.orderStart,
			m.start, m.start, m.check, m.impairRarely,
		}
		for range rapid.IntRange(15_000, 30_000).Draw(t, "steps") {
			pick(m.rng, actions)(t)
		}
		m.check(t)
		starts, nearEnds, outages = starts+m.starts, nearEnds+m.nearEnds, outages+m.outages
	})
	t.Logf("%d starts, %d of them between a request and the bound, %d confirmed outages", starts, nearEnds, outages)
	if starts < 5000 || nearEnds < 1000 || outages < 500 {
		t.Errorf("the model made only %d starts, %d of them between a request and the bound, and %d confirmed outages", starts, nearEnds, outages)
	}
}

// Guards against limits where the deployment has none, and against starts before anything is
// known or on workers that may be in an evacuated zone.
func TestUntil(t *testing.T) {
	var s Set
	if _, ok := (Limits{}).Until(nil, "a"); !ok {
		t.Error("starts are limited in a deployment without requests")
	}
	if _, ok := testLimits.Until(s.View(), "a"); ok {
		t.Error("a start is allowed before anything is known")
	}
	s.Complete([]Row{{Zone: "a", Version: 3}, {Zone: "c", Version: 4}}, 5, 10*time.Second, 11*time.Second)
	for zone, want := range map[string]bool{"a": false, "b": true, "c": false, "": false} {
		until, ok := testLimits.Until(s.View(), zone)
		if ok != want || ok && (until <= 14500*time.Millisecond || until > 14700*time.Millisecond) {
			t.Errorf("zone %q: starts until %v, %v, want %v", zone, until, ok, want)
		}
	}
	s.Apply([]Row{{Zone: "a", Version: 6, Withdrawn: true}, {Zone: "c", Version: 7, Withdrawn: true}}, 5, 7, 12*time.Second, 12*time.Second)
	if _, ok := testLimits.Until(s.View(), ""); !ok || len(s.View().Zones()) > 0 {
		t.Error("starts are not allowed after both requests were withdrawn")
	}
	s.Apply([]Row{{Zone: "a", Version: 9}}, 7, 9, 13*time.Second, 13*time.Second)
	if _, ok := testLimits.Until(s.View(), "a"); ok {
		t.Error("a start is allowed in a zone whose evacuation was requested again")
	}
}

// Guards against all workers of a zone returning at once, and against workers that never do.
func TestWorkersReturnOneAfterTheOther(t *testing.T) {
	const workers, withdrawn = 18, 20 * time.Second
	var s Set
	s.Complete([]Row{{Zone: "a", Version: 3}}, 3, 10*time.Second, 10*time.Second)
	s.Complete(nil, 4, withdrawn, withdrawn)
	var thirds [3]int
	for i := range workers {
		after := s.View().ReturnsAt("a", fmt.Sprint("w", i)) - withdrawn
		if after < 0 || after > ReturnTime {
			t.Fatalf("worker %d returns %v after the withdrawal", i, after)
		}
		thirds[min(2, after*3/ReturnTime)]++
	}
	for _, n := range thirds {
		if n < workers/6 {
			t.Errorf("workers that return in each third of the time: %v", thirds)
		}
	}
	if at := s.View().ReturnsAt("b", "w1"); at != 0 {
		t.Errorf("a worker of a zone that was not evacuated returns at %v", at)
	}
	s.Complete(nil, 5, withdrawn+ReturnTime, withdrawn+ReturnTime+time.Second)
	if rows, _, _ := s.Rows(); len(rows) > 0 {
		t.Errorf("kept after the return: %v", rows)
	}
}

// Guards against a view that counts as complete after changes that do not follow on what it
// has, as after a feed that went on at a later version.
func TestGapDoesNotComplete(t *testing.T) {
	var s Set
	s.Complete(nil, 5, 10*time.Second, 10*time.Second)
	s.Apply(nil, 8, 9, 20*time.Second, 20*time.Second)
	if until, _ := testLimits.Until(s.View(), "a"); until > 15*time.Second {
		t.Errorf("starts are allowed until %v", until)
	}
	if s.Apply([]Row{{Zone: "a", Version: 7}}, 5, 9, 21*time.Second, 21*time.Second); !s.View().Evacuated("a") {
		t.Error("a row of the gap is ignored")
	}
}
