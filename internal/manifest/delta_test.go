package manifest

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// generateManifest generates a manifest, which need not be valid, and of whose fields
// only some are set. It uses few names, so that two manifests are likely to have common
// accounts and kinds. The label "weight" appears twice in rapid's output: for
// Weights.Completion, and for the weight of each account.
func generateManifest(t *rapid.T, version uint64) *structs.Manifest {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	m := &structs.Manifest{
		APIVersion: structs.APIVersion, Deployment: names.Draw(t, "deployment"), Version: version, Parent: version - 1,
		Weights: structs.Weights{Completion: rapid.Float64Range(0, 1).Draw(t, "weight")},
		Limits:  structs.Limits{MaxWaiting: rapid.IntRange(0, 2).Draw(t, "waiting")},
	}
	for range rapid.IntRange(0, 3).Draw(t, "hardware") {
		m.Hardware = append(m.Hardware, structs.Hardware{Rack: names.Draw(t, "rack"), Workers: rapid.IntRange(1, 3).Draw(t, "workers")})
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 5, rapid.ID).Draw(t, "accounts") {
		a := structs.Account{Name: name, Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))}
		if rapid.Bool().Draw(t, "limited") {
			limit := rapid.IntRange(0, 1).Draw(t, "limit")
			a.Quota.BorrowingLimit = &limit
		}
		a.Domains = rapid.SliceOfN(names, 0, 2).Draw(t, "domains")
		m.Accounts = append(m.Accounts, a)
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 5, rapid.ID).Draw(t, "kinds") {
		m.Kinds = append(m.Kinds, structs.Kind{Name: name, Attempts: rapid.IntRange(0, 2).Draw(t, "attempts")})
	}
	return m
}

// Guards against a delta that does not lead to the new manifest, modifies the old one, or
// can be applied to another version.
func TestDiffPatchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := generateManifest(t, 3), generateManifest(t, 5)
		before, err := json.Marshal(old)
		if err != nil {
			t.Fatal(err)
		}
		for _, from := range []*structs.Manifest{old, nil} {
			delta := Diff(from, next)
			got, err := Patch(from, delta)
			if err != nil || !reflect.DeepEqual(got, clone(next)) {
				t.Fatalf("got %+v, %v", got, err)
			}
			if other := generateManifest(t, 4); from != nil {
				if _, err := Patch(other, delta); err == nil {
					t.Fatal("a delta was applied to another version")
				}
			}
		}
		if after, _ := json.Marshal(old); string(after) != string(before) {
			t.Fatalf("old manifest changed from %s to %s", before, after)
		}
	})
}

// Guards against a version in force that decreases, and against deltas that lead a
// follower to a different manifest.
func TestHolderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leader, follower Holder
		changed, cancel := follower.Subscribe()
		defer cancel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			version := leader.Version()
			next := uint64(rapid.IntRange(1, 50).Draw(t, "version"))
			if leader.Set(generateManifest(t, next)) != (next > version) {
				t.Fatalf("version %d after %d", next, version)
			}
			before := follower.Version()
			delta := leader.Delta(before)
			if rapid.Bool().Draw(t, "follow") {
				advanced := follower.Advance(delta)
				select {
				case <-changed:
					if !advanced {
						t.Fatal("the subscription received a value without a change")
					}
				default:
					if advanced {
						t.Fatal("the subscription received no value after a change")
					}
				}
				if advanced == (delta == nil) || !reflect.DeepEqual(follower.Current(), leader.Current()) {
					t.Fatalf("follower has %+v, leader %+v", follower.Current(), leader.Current())
				}
			}
			if follower.Version() < before || len(leader.recent) > maxRecentVersions {
				t.Fatalf("version decreased to %d, or too many versions are kept: %d", follower.Version(), len(leader.recent))
			}
		}
	})
}

// Guards against input that makes the decoder panic, and against a manifest that is
// refused or different when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"al-wusta.yaml", "andrade.yaml"} {
		f.Add(readExample(f, name))
	}
	for _, text := range []string{"", "{}", "a: &a [*a]", "---\n---\n", "weights: {completion: .nan, fragmentation: 1e999}", "? [x]\n: y", "\xff"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			if err.Error() == "" {
				t.Error("empty message")
			}
			return
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(text); err != nil || !reflect.DeepEqual(m, again) {
			t.Errorf("%s\ndecoded again: %+v, %v", text, again, err)
		}
	})
}
