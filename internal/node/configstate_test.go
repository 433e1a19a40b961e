package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

var stateEpoch = time.Unix(1000, 0)

func TestOlderConfigurationOfACopyIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	var s configurationState
	is.True(s.read(objectstore.NewVersion(1, 90), 7))
	is.True(s.confirmed(stateEpoch, 7))
	s.restored(stateEpoch)
	is.True(!s.read(objectstore.NewVersion(2, 50), 5)) // the copy holds an older one
	is.Equal(s.active, fleet.Generation(7))
	settled := stateEpoch.Add(restoreSettleTime)
	is.True(!s.confirmed(settled, s.stored)) // the operator has not written again
	is.True(!s.read(objectstore.NewVersion(2, 60), 7))
	is.True(s.confirmed(settled, s.stored))
}

// TestConfigurationIsNotConfirmedRightAfterARestore covers the loss of a configuration that no host had
// read: the copy then looks like the newest state until the operator writes again.
func TestConfigurationIsNotConfirmedRightAfterARestore(t *testing.T) {
	is := is.New(t)
	var s configurationState
	s.read(objectstore.NewVersion(1, 40), 5)
	s.restored(stateEpoch)
	s.read(objectstore.NewVersion(2, 40), 5)
	is.True(!s.confirmed(stateEpoch.Add(restoreSettleTime-time.Millisecond), s.stored))
	is.True(s.read(objectstore.NewVersion(2, 41), 6))
	is.True(s.confirmed(stateEpoch.Add(restoreSettleTime), s.stored))
}

// TestHostThatMissedAConfigurationIsNotConfirmed covers a host that starts on the copy while its peers
// have a newer configuration in force.
func TestHostThatMissedAConfigurationIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	var s configurationState
	s.read(objectstore.NewVersion(2, 40), 5)
	is.True(s.confirmed(stateEpoch, s.stored))
	is.True(s.heard(6))
	is.True(!s.confirmed(stateEpoch, s.stored))
	is.True(!s.heard(5))
	is.True(s.read(objectstore.NewVersion(2, 41), 6))
	is.True(s.confirmed(stateEpoch, s.stored))
}

// operatorRewriteTime is within which the operator writes again what a restore has lost.
const operatorRewriteTime = 2 * time.Second

// TestConfirmationsHoldThroughRestores runs hosts against a store that is restored from older copies, twice
// in a row at times, while an operator writes new generations. A host's generation must never fall, and a
// confirmation must mean that no newer generation was acknowledged before it.
func TestConfirmationsHoldThroughRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := stateEpoch
		acknowledged := fleet.Generation(1)
		stored := acknowledged
		copies := []fleet.Generation{stored}
		era, revision := uint64(1), uint64(1)
		rewriteAt := time.Time{}
		hosts := make([]configurationState, 3)
		knownEra := make([]uint64, len(hosts))
		for i := range hosts {
			hosts[i].read(objectstore.NewVersion(era, revision), stored)
			knownEra[i] = era
		}
		rewrite := func() {
			if !rewriteAt.IsZero() && !now.Before(rewriteAt) {
				rewriteAt = time.Time{}
				if stored != acknowledged {
					stored = acknowledged
					revision++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"write": func(*rapid.T) {
				if rewriteAt.IsZero() {
					acknowledged++
					stored = acknowledged
					revision++
				}
			},
			"copy": func(*rapid.T) { copies = append(copies, stored) },
			"restore": func(t *rapid.T) {
				stored = rapid.SampledFrom(copies).Draw(t, "from")
				era++
				rewriteAt = now.Add(time.Duration(rapid.Int64Range(0, int64(operatorRewriteTime)).Draw(t, "rewrite after")))
			},
			"read": func(t *rapid.T) {
				rewrite()
				i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
				h := &hosts[i]
				if knownEra[i] != era {
					knownEra[i] = era
					h.restored(now)
				}
				before := h.active
				h.read(objectstore.NewVersion(era, revision), stored)
				if h.active < before {
					t.Fatalf("generation %d after %d", h.active, before)
				}
				if h.confirmed(now, h.stored) && h.active < acknowledged {
					t.Fatalf("confirmed %d although %d was acknowledged", h.active, acknowledged)
				}
			},
			"hear": func(t *rapid.T) {
				from := rapid.IntRange(0, len(hosts)-1).Draw(t, "from")
				to := rapid.IntRange(0, len(hosts)-1).Draw(t, "to")
				hosts[to].heard(hosts[from].active)
			},
		})
	})
}

// TestHostThatStartsAfterARestoreTakesNoOlderConfigurationAsConfirmed guards against the use of keys that a newer
// configuration, of which only peers know, has taken away.
func TestHostThatStartsAfterARestoreTakesNoOlderConfigurationAsConfirmed(t *testing.T) {
	is := is.New(t)
	s := configurationState{startedAt: stateEpoch}
	s.read(objectstore.NewVersion(2, 40), 5)
	is.True(!s.confirmed(stateEpoch, s.stored)) // its peers have not been heard
	is.True(s.heard(6))
	is.True(!s.confirmed(stateEpoch.Add(peerReportWait), s.stored))
	is.True(s.read(objectstore.NewVersion(2, 41), 6))
	is.True(s.confirmed(stateEpoch, s.stored))
}

func TestHostThatStartsAloneConfirmsAfterAWait(t *testing.T) {
	is := is.New(t)
	s := configurationState{startedAt: stateEpoch}
	s.read(objectstore.NewVersion(2, 40), 5)
	s.heard(0) // a peer that has no configuration yet
	is.True(!s.confirmed(stateEpoch.Add(peerReportWait-1), s.stored))
	is.True(s.confirmed(stateEpoch.Add(peerReportWait), s.stored))
}

func TestHostThatStartsTakesBackWhatAnOlderCopyConfirmed(t *testing.T) {
	is := is.New(t)
	s := configurationState{startedAt: stateEpoch}
	s.read(objectstore.NewVersion(2, 40), 5)
	is.True(!s.heard(5))
	is.True(s.confirmed(stateEpoch, s.stored))
	is.True(!s.refuted(stateEpoch))
	is.True(s.heard(6))
	is.True(s.refuted(stateEpoch.Add(restoreSettleTime - 1)))
	is.True(!s.refuted(stateEpoch.Add(restoreSettleTime))) // a newer one may have been written since
	s.read(objectstore.NewVersion(2, 41), 6)
	is.True(!s.refuted(stateEpoch))
}
