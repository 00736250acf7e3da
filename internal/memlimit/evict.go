package memlimit

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection does.
type Phase int32

// The phases of a connection.
const (
	// Idle is a connection between requests, or before the first one.
	Idle Phase = iota
	// Header is a connection that reads the header of a request.
	Header
	// Receiving is a connection that reads the body of a request.
	Receiving
	// Running is a connection whose request was received. It may have been passed on, so
	// the connection is never evicted.
	Running
	// Sending is a connection that writes a response.
	Sending
	// Waiting is a connection that waits for room.
	Waiting
	// Closing is a connection whose request was refused. It only reads what its client
	// still sends.
	Closing
	// Trusted is a connection of a process of the system. It is never evicted.
	Trusted
)

// Times without progress after which a connection may be evicted.
const (
	// silentTime is that of a connection on which nothing was received. Clients that have
	// something to send do so at once.
	silentTime = 50 * time.Millisecond
	// headerTime is that of a connection whose header is not complete.
	headerTime = 200 * time.Millisecond
	// stallTime is that of a connection that receives a body or sends a response. A slow
	// client may pause between two parts of its body.
	stallTime = 500 * time.Millisecond
	// idleEvictTime is that of a connection between two requests.
	idleEvictTime = time.Second
)

// SetPhase sets the phase of the connection. It returns ErrEvicted if the connection has
// been evicted; its request must then not be passed on.
func (g *Grant) SetPhase(p Phase) error {
	b := g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.evicted {
		return ErrEvicted
	}
	g.setPhase(p)
	return nil
}

// setPhase sets the phase without a check whether the connection has been evicted.
func (g *Grant) setPhase(p Phase) {
	g.phase.Store(int32(p))
	g.progressAt.Store(int64(g.share.budget.clock()))
}

// Progress notes that the connection makes progress.
func (g *Grant) Progress() { g.progressAt.Store(int64(g.share.budget.clock())) }

// Evicted reports whether the connection has been evicted.
func (g *Grant) Evicted() bool {
	b := g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return g.evicted
}

// The classes of connections that may be evicted; those of a higher class go first.
const (
	notEvictable = iota
	betweenRequests
	stalled
	refused
)

// class returns the class of a connection, and for how long it has made no progress.
func (g *Grant) class(now time.Duration) (int, time.Duration) {
	without := now - time.Duration(g.progressAt.Load())
	switch Phase(g.phase.Load()) {
	case Closing:
		return refused, without
	case Idle:
		if g.seasoned.Load() {
			return ifAfter(idleEvictTime, betweenRequests, without)
		}
		return ifAfter(silentTime, stalled, without)
	case Header:
		return ifAfter(headerTime, stalled, without)
	case Receiving, Sending:
		return ifAfter(stallTime, stalled, without)
	}
	return notEvictable, without
}

// ifAfter returns class if the time without progress is at least limit.
func ifAfter(limit time.Duration, class int, without time.Duration) (int, time.Duration) {
	if without < limit {
		return notEvictable, without
	}
	return class, without
}

// victim is a connection that may be evicted.
type victim struct {
	grant *Grant
	class int
	// dominant is set if the connection's client holds more than half of what its share
	// uses.
	dominant bool
	// weight is the memory that the connection holds times the time for which it has made
	// no progress.
	weight float64
}

// victims returns the connections of the share that may be evicted, the first one first.
// The caller holds mu.
func (s *Share) victims(except *Grant, now time.Duration) []victim {
	var all []victim
	for _, g := range s.grants {
		if g == except || g.evicted {
			continue
		}
		class, without := g.class(now)
		if class == notEvictable {
			continue
		}
		all = append(all, victim{
			grant: g, class: class, dominant: len(s.clients) > 1 && 2*g.client.bytes > s.used.Bytes,
			weight: float64(g.held.Bytes) * without.Seconds(),
		})
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.class, a.class), compareBool(b.dominant, a.dominant), cmp.Compare(b.weight, a.weight))
	})
	return all
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// makeRoom evicts connections until g can have need once they have left. It returns them,
// and false if that is not possible; it then evicts none. The caller holds mu and has to
// call evict of each.
func (b *Budget) makeRoom(s *Share, g *Grant, need Amount) ([]*Grant, bool) {
	if len(s.waiters) >= maxWaiters {
		return nil, false
	}
	total := need.plus(s.keptForSmall(g, need))
	for _, w := range s.waiters {
		total = total.plus(w.need)
	}
	if b.available(s, true).covers(total) {
		return nil, true
	}
	now := b.clock()
	if now < s.searchAfter {
		return nil, false
	}
	from := b.evictFrom(s, total)
	var evicted []*Grant
	for _, v := range from.victims(g, now) {
		spare := b.available(s, true).minus(total)
		if spare.covers(Amount{}) && (v.class < stalled || spare.Bytes >= from.guaranteed.Bytes/headroomFraction) {
			break
		}
		v.grant.evicted = true
		from.leaving = from.leaving.plus(v.grant.held)
		evicted = append(evicted, v.grant)
	}
	if !b.available(s, true).covers(total) {
		for _, v := range evicted {
			v.evicted = false
			from.leaving = from.leaving.minus(v.held)
		}
		s.searchAfter = now + searchPause
		return nil, false
	}
	from.counters.evicted.Add(int64(len(evicted)))
	return evicted, true
}

// evictFrom returns the share whose connections are evicted so that s can use total more:
// s itself, or the one that has borrowed most of what is missing if s asks for what is
// guaranteed to it. The caller holds mu.
func (b *Budget) evictFrom(s *Share, total Amount) *Share {
	if !s.guaranteed.covers(s.used.minus(s.leaving).plus(total)) {
		return s
	}
	missing := total.minus(b.available(s, true))
	from, most := s, 0.0
	for _, t := range b.shares {
		borrowed, part := t.used.minus(t.leaving).minus(t.guaranteed), 0.0
		if missing.Bytes > 0 {
			part = max(part, float64(borrowed.Bytes)/float64(b.limit.Bytes))
		}
		if missing.Conns > 0 {
			part = max(part, float64(borrowed.Conns)/float64(b.limit.Conns))
		}
		if t != s && part > most {
			from, most = t, part
		}
	}
	return from
}
