package estimate

import "container/list"

// lru is a map with at most limit entries. Adding one more evicts the entry that
// was least recently passed to touch.
type lru[K comparable, V any] struct {
	limit   int
	order   *list.List // front: most recently changed
	entries map[K]*list.Element
}

type lruEntry[K comparable, V any] struct {
	key   K
	value *V
}

func newLRU[K comparable, V any](limit int) lru[K, V] {
	return lru[K, V]{limit: limit, order: list.New(), entries: make(map[K]*list.Element)}
}

// peek returns the value of key, or nil. It does not count as a change.
func (l *lru[K, V]) peek(key K) *V {
	if e, ok := l.entries[key]; ok {
		return e.Value.(*lruEntry[K, V]).value
	}
	return nil
}

// touch returns the value of key, after adding a zero value if there is none, and
// marks it as the most recently changed.
func (l *lru[K, V]) touch(key K) *V {
	if e, ok := l.entries[key]; ok {
		l.order.MoveToFront(e)
		return e.Value.(*lruEntry[K, V]).value
	}
	if l.order.Len() >= l.limit {
		oldest := l.order.Back()
		l.order.Remove(oldest)
		delete(l.entries, oldest.Value.(*lruEntry[K, V]).key)
	}
	entry := &lruEntry[K, V]{key: key, value: new(V)}
	l.entries[key] = l.order.PushFront(entry)
	return entry.value
}

func (l *lru[K, V]) remove(key K) {
	if e, ok := l.entries[key]; ok {
		l.order.Remove(e)
		delete(l.entries, key)
	}
}

// each calls f for every entry. f must not call touch or remove.
func (l *lru[K, V]) each(f func(K, *V)) {
	for e := l.order.Front(); e != nil; e = e.Next() {
		entry := e.Value.(*lruEntry[K, V])
		f(entry.key, entry.value)
	}
}
