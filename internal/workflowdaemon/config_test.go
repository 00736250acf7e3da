package workflowdaemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/gateway"
)

// silentProcesses are situations of three entries in which the first one has a way to the
// store, its own or through a peer, beside processes that do not answer.
var silentProcesses = map[string]func(s *configSim){
	"the store is silent": func(s *configSim) { s.paths["entry0"].set(false, true) },
	"the store refuses, one peer is frozen": func(s *configSim) {
		s.paths["entry0"].set(true, false)
		s.setUnreachable("entry1", true)
	},
	"the store is silent, one peer is frozen": func(s *configSim) {
		s.paths["entry0"].set(false, true)
		s.setUnreachable("entry1", true)
	},
	"the store is silent here and at one peer": func(s *configSim) {
		s.paths["entry0"].set(false, true)
		s.paths["entry1"].set(false, true)
	},
	"the store refuses here and is silent at one peer": func(s *configSim) {
		s.paths["entry0"].set(true, false)
		s.paths["entry1"].set(false, true)
	},
	"open connections to the store are dead": func(s *configSim) { s.paths["entry0"].dropConnections() },
	// The reads go through the peers when the store answers again and both of them freeze.
	"the store answers again, the peers are frozen": func(s *configSim) {
		s.paths["entry0"].set(true, false)
		time.Sleep(configContact)
		s.paths["entry0"].set(false, false)
		s.setUnreachable("entry1", true)
		s.setUnreachable("entry2", true)
	},
}

// Guards against a configuration that is confirmed and not in force 2 s later at an entry
// that can learn of it, because the entry waits for a process that does not answer.
func TestConfigurationArrivesPastSilentProcess(t *testing.T) {
	for name, prepare := range silentProcesses {
		t.Run(name, func(t *testing.T) {
			// The fault begins at different moments of the reads, which begin every 0.8 s.
			for offset := time.Duration(0); offset < time.Second; offset += 110 * time.Millisecond {
				runConfigSim(t, 3, func(s *configSim) {
					time.Sleep(offset)
					prepare(s)
					for range 4 {
						version := s.change()
						time.Sleep(configBound)
						if got := s.versionAt("entry0"); got < version {
							t.Errorf("fault at %v: %v after version %d, version %d is in force", offset, configBound, version, got)
						}
					}
				})
			}
		})
	}
}

// Guards against an owner that makes no decisions, and an entry that reports itself as not
// ready, because its reads of the rows wait for a process that does not answer although
// another way to the store works.
func TestRowsStayRecentPastSilentProcess(t *testing.T) {
	for name, prepare := range silentProcesses {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < time.Second; offset += 110 * time.Millisecond {
				runConfigSim(t, 3, func(s *configSim) {
					time.Sleep(offset)
					prepare(s)
					var oldest time.Duration
					for range 600 {
						time.Sleep(10 * time.Millisecond)
						age, _ := s.entries["entry0"].tableMirror.Age()
						oldest = max(oldest, age)
					}
					if oldest > maxRowsAge {
						t.Errorf("fault at %v: the rows were up to %v old, want at most %v", offset, oldest, maxRowsAge)
					}
				})
			}
		})
	}
}

// Guards against an entry that serves by a withdrawn configuration after a restart, because
// the store does not answer it and it takes what a peer has that lost the store earlier.
func TestRestartedEntryServesNoOldConfiguration(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		s.paths["entry1"].set(false, true)
		s.setUnreachable("entry1", true)
		time.Sleep(configContact)
		version := s.change()
		time.Sleep(configContact)
		if got := s.versionAt("entry0"); got != version {
			t.Errorf("version %d is in force before the restart, want %d", got, version)
		}
		s.kill("entry0")
		s.kill("entry2")
		s.setUnreachable("entry1", false)
		s.paths["entry0"].set(false, true)
		s.start("entry0")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if got := s.versionAt("entry0"); got != 0 && got < version {
				t.Errorf("version %d is in force after a restart, version %d was confirmed %v before it", got, version, configContact)
				return
			}
		}
		s.paths["entry0"].set(false, false)
		time.Sleep(configContact)
		if got := s.versionAt("entry0"); got != version {
			t.Errorf("version %d is in force with a working store, want %d", got, version)
		}
	})
}

// Guards against entries that learn of a version only when their own call to the store is
// overdue, although others have it at once: requests with a new key were refused meanwhile.
func TestAnnouncedConfigurationArrivesAtOnce(t *testing.T) {
	const bound = 200 * time.Millisecond
	for offset := time.Duration(0); offset < time.Second; offset += 90 * time.Millisecond {
		runConfigSim(t, 5, func(s *configSim) {
			time.Sleep(offset)
			s.paths["entry0"].set(false, true)
			s.paths["entry1"].set(true, false)
			s.setUnreachable("entry2", true)
			for range 4 {
				version := s.change()
				time.Sleep(bound)
				for _, id := range []string{"entry0", "entry1", "entry3", "entry4"} {
					if got := s.versionAt(id); got < version {
						t.Errorf("fault at %v: %v after version %d, %s has version %d", offset, bound, version, id, got)
					}
				}
			}
		})
	}
}

// Guards against announcements that leave out an entry or burden one more than others.
func TestAnnouncementsAreSpread(t *testing.T) {
	for n := 2; n < 9; n++ {
		told := map[string]int{}
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf("10.0.0.%d:7000", i))
		}
		slices.Sort(all)
		for _, self := range all {
			peers := slices.DeleteFunc(slices.Clone(all), func(addr string) bool { return addr == self })
			for _, addr := range nextPeers(peers, self, configAnnouncePeers) {
				told[addr]++
			}
		}
		for _, addr := range all {
			if want := min(configAnnouncePeers, n-1); told[addr] != want {
				t.Errorf("%d entries: %s is told %d times, want %d", n, addr, told[addr], want)
			}
		}
	}
}

// Guards against requests that are served by an old configuration right after a pause: an
// entry that was frozen answered by the version from before, until its own call was answered.
// It has to know of the newer version, or to say that it does not know.
func TestRequestAfterPauseUsesRecentConfiguration(t *testing.T) {
	for name, storeAnswers := range map[string]bool{"the store answers": true, "only peers answer": false} {
		t.Run(name, func(t *testing.T) {
			runConfigSim(t, 3, func(s *configSim) {
				freeze := func(frozen bool) {
					s.paths["entry0"].set(false, frozen)
					s.setUnreachable("entry0", frozen)
				}
				freeze(true)
				time.Sleep(simApplyLimit)
				version := s.change()
				time.Sleep(simApplyLimit)
				if got := s.entries["entry0"].RefreshConfig(); got == gateway.Recent {
					t.Errorf("the configuration counts as recent %v after the entry lost all ways to a newer one", 2*simApplyLimit)
				}
				time.Sleep(requestRefreshDelay)
				freeze(false)
				s.paths["entry0"].set(false, !storeAnswers)
				began := time.Now()
				currency, got := s.entries["entry0"].RefreshConfig(), s.versionAt("entry0")
				if currency != gateway.Recent || got != version {
					t.Errorf("currency %v, version %d is in force, want %d", currency, got, version)
				}
				if took := time.Since(began); took > requestRefreshTimeout {
					t.Errorf("the request waited for %v", took)
				}
				s.paths["entry0"].set(false, false)
			})
		})
	}
}

// Guards against an entry that stays without a configuration after a restart although other
// entries know it: the store refuses it, and its settings name no other entry.
func TestRestartedEntryIsFoundByOwner(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		id := "entry0"
		if s.entries[id].currentOwner() != nil {
			id = "entry1"
		}
		s.kill(id)
		s.paths[id].set(true, false)
		s.noSeeds = true
		s.start(id)
		time.Sleep(2 * rowCheckInterval)
		if got := s.versionAt(id); got != s.version {
			t.Errorf("%v after a restart, version %d is in force, want %d", 2*rowCheckInterval, got, s.version)
		}
		if err := s.entries[id].Ready(); err != nil {
			t.Errorf("%v after a restart, the entry is not ready: %v", 2*rowCheckInterval, err)
		}
	})
}

// Guards against an entry on a slow link that fetches a large configuration from several
// processes at once, each too slowly to end in time, and again from the beginning: with 1,500
// routes and 10 Mbit/s it stayed on an old version for 45 s after the store had refused it.
func TestLargeConfigurationArrivesOnSlowLink(t *testing.T) {
	for name, fault := range map[string]func(p *storePath, begin bool){
		"no fault":            func(*storePath, bool) {},
		"the store refuses":   func(p *storePath, begin bool) { p.set(begin, false) },
		"the store is silent": func(p *storePath, begin bool) { p.set(false, begin) },
		"connections are dead": func(p *storePath, _ bool) {
			p.dropConnections()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runConfigSim(t, 6, func(s *configSim) {
				link := &simLink{bytesPerSecond: 10_000_000 / 8}
				s.net.mu.Lock()
				s.net.links = map[string]*simLink{"entry0": link}
				s.net.mu.Unlock()
				s.paths["entry0"].link = link
				s.documentSize = 400_000
				var confirmed []time.Time
				first := s.version
				worst := time.Duration(0)
				for i := range 900 {
					if i == 200 || i == 500 {
						fault(s.paths["entry0"], i == 200)
					}
					if i%35 == 0 {
						s.change()
						confirmed = append(confirmed, time.Now())
					}
					time.Sleep(20 * time.Millisecond)
					if missing := int(s.versionAt("entry0") - first); missing < len(confirmed) {
						worst = max(worst, time.Since(confirmed[missing]))
					}
				}
				if worst > simApplyLimit {
					t.Errorf("a version was in force %v after its confirmation, want %v at most", worst, simApplyLimit)
				}
			})
		})
	}
}

// Guards against an entry that answers questions by a configuration which it knows to have
// been replaced, because the document does not arrive.
func TestKnownNewerVersionEndsUseOfOldOne(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		link := &simLink{bytesPerSecond: 100}
		s.net.mu.Lock()
		s.net.links = map[string]*simLink{"entry0": link}
		s.net.mu.Unlock()
		s.documentSize = 400_000
		s.paths["entry0"].set(false, true)
		s.change()
		time.Sleep(2 * simApplyLimit)
		if got := s.entries["entry0"].RefreshConfig(); got != gateway.Replaced {
			t.Errorf("currency %v, want %v", got, gateway.Replaced)
		}
		s.net.mu.Lock()
		delete(s.net.links, "entry0")
		s.net.mu.Unlock()
		s.paths["entry0"].set(false, false)
		time.Sleep(simApplyLimit)
		if got := s.entries["entry0"].RefreshConfig(); got != gateway.Recent {
			t.Errorf("currency %v with a working store, want %v", got, gateway.Recent)
		}
	})
}
