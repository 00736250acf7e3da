package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// frozenOwner accepts calls and replies to none until release is closed.
type frozenOwner struct{ release chan struct{} }

func (f *frozenOwner) Owner(*structs.OwnerArgs, *structs.OwnerReply) error {
	<-f.release
	return nil
}

func (f *frozenOwner) Announce(*structs.AnnounceArgs, *structs.HeartbeatReply) error {
	<-f.release
	return nil
}

func (f *frozenOwner) Heartbeat(*structs.HeartbeatArgs, *structs.HeartbeatReply) error {
	<-f.release
	return nil
}

// Guards against an agent that announces itself late because it waits for replies
// of a frozen owner, that follows an owner with an older epoch, or that announces
// itself again at each call of its owner.
func TestAgentFollowsNewOwner(t *testing.T) {
	for _, frozen := range []time.Duration{0, 500 * time.Millisecond, 1700 * time.Millisecond, 4300 * time.Millisecond} {
		t.Run(frozen.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, nil)
				c.eventually("announced", func() bool {
					announcements, _ := c.owner.received()
					return len(announcements) == 1
				})
				old := &frozenOwner{release: make(chan struct{})}
				defer close(old.release)
				next := &fakeOwner{durable: true, owner: structs.Owner{Domain: "d", EntryID: "e2", Addr: "owner:2", Epoch: 2}}
				c.net.mu.Lock()
				c.net.services[ownerAddr+"/Peer"], c.net.services[ownerAddr+"/Domain"] = old, old
				c.net.services["owner:2/Peer"], c.net.services["owner:2/Domain"] = next, next
				c.net.mu.Unlock()
				time.Sleep(frozen)
				for _, repeated := range []bool{false, true} {
					if err := c.ownerChanged(next.owner); err != nil {
						t.Fatalf("repeated %v: %v", repeated, err)
					}
					time.Sleep(50 * time.Millisecond)
					if announcements, _ := next.received(); len(announcements) != 1 {
						t.Fatalf("%d announcements 50 ms after the call, repeated %v", len(announcements), repeated)
					}
				}
				if err := c.ownerChanged(c.owner.owner); !verdict.HasCode(err, verdict.CodeStaleEpoch) || verdict.Of(err) != verdict.NotRun {
					t.Errorf("call of the older owner: %v", err)
				}
				other := next.owner
				other.Domain, other.Epoch = "other", 3
				if err := c.ownerChanged(other); !verdict.HasCode(err, verdict.CodeBadRequest) {
					t.Errorf("call of the owner of another domain: %v", err)
				}
				time.Sleep(5 * time.Second)
				if owner, _ := c.agents[0].ownerTracker.current(); owner != next.owner {
					t.Errorf("the agent follows %+v", owner)
				}
			})
		})
	}
}

// slowOwner replies to announcements after a delay, and refuses the first ones.
type slowOwner struct {
	fakeOwner
	delay   time.Duration
	refuse  int
	refused int
}

func (o *slowOwner) Announce(args *structs.AnnounceArgs, reply *structs.HeartbeatReply) error {
	time.Sleep(o.delay)
	o.mu.Lock()
	refused := o.refused < o.refuse
	if refused {
		o.refused++
	}
	o.mu.Unlock()
	if refused {
		reply.Err = verdict.Refuse(verdict.CodeNotOwner, "not the owner yet")
		return nil
	}
	return o.fakeOwner.Announce(args, reply)
}

// Guards against an agent that announces itself twice to an owner that calls while
// the announcement to it is in progress, or that then waits after a refusal.
func TestOwnerCallsDuringAnnouncement(t *testing.T) {
	for _, refuse := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, nil)
			c.eventually("announced", func() bool {
				announcements, _ := c.owner.received()
				return len(announcements) == 1
			})
			next := &slowOwner{fakeOwner: fakeOwner{durable: true, owner: structs.Owner{Domain: "d", EntryID: "e2", Addr: "owner:2", Epoch: 2}},
				delay: 100 * time.Millisecond, refuse: refuse}
			c.net.mu.Lock()
			c.net.services["owner:2/Peer"], c.net.services["owner:2/Domain"] = next, next
			c.net.mu.Unlock()
			for range 3 {
				if err := c.ownerChanged(next.owner); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(time.Duration(1+refuse)*next.delay - 50*time.Millisecond)
			if owner, _ := c.agents[0].ownerTracker.current(); owner != next.owner {
				t.Errorf("the agent follows %+v", owner)
			}
			time.Sleep(time.Second)
			if announcements, _ := next.received(); len(announcements) != 1 || next.refused != refuse {
				t.Errorf("%d announcements accepted and %d refused, want 1 and %d", len(announcements), next.refused, refuse)
			}
		})
	}
}

func (c *cluster) ownerChanged(owner structs.Owner) error {
	return c.call(agentAddr(0), "Agent.OwnerChanged", &structs.OwnerChangedArgs{Owner: owner}, &structs.OwnerChangedReply{})
}

// Guards against a health record of the worker that is not passed on to the next
// owner, whose ages are not updated, or that is requested again with every
// heartbeat.
func TestHealthRecordIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		c.owner.update(func(o *fakeOwner) {
			o.health = &structs.WorkerHealth{Epoch: 1, Version: 7, Quarantined: true, ProbeIn: time.Minute, Level: 2,
				Outcomes: []structs.WorkerOutcome{{Age: time.Second, Failed: true, Kind: "k", JobID: "j"}}}
		})
		last := func() structs.HeartbeatArgs {
			c.owner.mu.Lock()
			defer c.owner.mu.Unlock()
			if n := len(c.owner.heartbeats); n > 0 {
				return c.owner.heartbeats[n-1]
			}
			return structs.HeartbeatArgs{}
		}
		c.eventually("version acknowledged", func() bool { return last().HealthVersion == 7 })
		time.Sleep(20 * time.Second)
		c.owner.update(func(o *fakeOwner) { o.owner.EntryID, o.owner.Epoch, o.announcements, o.health = "e2", 2, nil, nil })
		if err := c.ownerChanged(structs.Owner{Domain: "d", EntryID: "e2", Addr: ownerAddr, Epoch: 2}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		announcements, _ := c.owner.received()
		if len(announcements) != 1 || announcements[0].Health == nil {
			t.Fatalf("announced %+v", announcements)
		}
		h := announcements[0].Health
		if h.Epoch != 1 || !h.Quarantined || h.Level != 2 || h.ProbeIn > 41*time.Second || h.ProbeIn < 38*time.Second ||
			len(h.Outcomes) != 1 || h.Outcomes[0].Age < 20*time.Second || h.Outcomes[0].Kind != "k" {
			t.Errorf("returned %+v", h)
		}
		if v := last().HealthVersion; v != 0 {
			t.Errorf("version %d of another owner acknowledged", v)
		}
	})
}
