package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/quarantine"
)

const (
	// quarantineObject is the name of the object that holds the quarantines.
	quarantineObject = "entries"
	// quarantineLoadTimeout is how long a host that starts waits for the stored quarantines before it says
	// that it is ready.
	quarantineLoadTimeout = time.Second
	// quarantineWriteDelay bounds the random wait before a change is stored. It lets one host write what all
	// have learned.
	quarantineWriteDelay = 500 * time.Millisecond
	// storeSource is the source of what was read from the store, in logs.
	storeSource = "store"
)

// storedQuarantine is the value of the object that holds the quarantines. Hosts that all start at the same
// time have no other memory of them.
type storedQuarantine struct {
	Entries []storedEntry `json:"entries"`
}

type storedEntry struct {
	Fleet   string   `json:"fleet"`
	Parts   []string `json:"parts"`
	Crashes int      `json:"crashes"`
	// LastCrashMillis is the time of the last crash by the cluster clock, in Unix milliseconds.
	LastCrashMillis int64 `json:"last_crash_ms"`
}

// mayProbe reports whether this host may probe quarantined requests: it holds the duties' lease or, where
// there are no duties, comes before all others.
func (n *Node) mayProbe() bool {
	now := clock.Now()
	if n.lease == nil {
		return n.peers.IsFirstLeader(now)
	}
	_, held := n.lease.Valid(now)
	return held
}

// applyQuarantine records what a peer knows of prompts that crash endpoints, and passes on what is new.
func (n *Node) applyQuarantine(now time.Time, from string, r *quarantine.Report) {
	if n.quarantine.Apply(now, from, r) {
		n.announceChange()
	}
}

// logQuarantine logs the changes of the quarantines and has them stored.
func (n *Node) logQuarantine(now time.Time) {
	changes := n.quarantine.TakeChanges(now)
	for _, c := range changes {
		n.Log.Warn().Str("change", string(c.Kind)).Str("fleet", c.Entry.Fleet).Strs("parts", c.Entry.Parts).
			Int("crashes", c.Entry.Crashes).Int64("last_crash_ms_ago", now.Sub(c.Entry.LastCrash).Milliseconds()).
			Int64("probe_in_ms", c.Entry.ProbeAt().Sub(now).Milliseconds()).Str("source", c.Source).
			Msg("prompt quarantine changed")
	}
	if len(changes) > 0 {
		wake(n.quarantineChanged)
	}
}

// maintainQuarantine reads the stored quarantines once, and stores each change.
func (n *Node) maintainQuarantine(ctx context.Context) {
	retry := newRetryBackoff()
	for {
		err := n.syncQuarantine(ctx)
		n.recordStoreCall("quarantine", err)
		if err == nil {
			retry.Reset()
			n.quarantineLoaded.Store(true)
			if !n.awaitQuarantineChange(ctx) {
				return
			}
			continue
		}
		if !pause(ctx, retry.Next()) {
			return
		}
	}
}

// awaitQuarantineChange waits for a change that this host, as a leader, has to store. It returns false if
// the context ends.
func (n *Node) awaitQuarantineChange(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-n.quarantineChanged:
		}
		if !pause(ctx, rand.N(quarantineWriteDelay)) {
			return false
		}
		if n.peers.IsLeader(clock.Now()) {
			return true
		}
	}
}

// awaitQuarantine waits until the stored quarantines are read, but no longer than quarantineLoadTimeout. It
// returns false if the context ends.
func (n *Node) awaitQuarantine(ctx context.Context) bool {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); !n.quarantineLoaded.Load() && waited < quarantineLoadTimeout; waited += interval {
		if !pause(ctx, interval) {
			return false
		}
	}
	return true
}

// syncQuarantine merges the stored quarantines with those of this host, and writes the result unless it is
// what is stored.
func (n *Node) syncQuarantine(ctx context.Context) error {
	object, err := n.Store.Get(ctx, objectstore.KindQuarantine, quarantineObject)
	missing := errors.Is(err, objectstore.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	var stored storedQuarantine
	if !missing {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			n.malformed.logOnce(n.Log, object.Name, object.Version, err)
		}
	}
	now := clock.Now()
	n.quarantine.Apply(now, storeSource, n.storedReport(now, stored))
	merged := n.storeEntries(now)
	if len(merged.Entries) == len(stored.Entries) && covers(stored, merged) {
		return nil
	}
	return n.writeQuarantine(ctx, object, missing, merged)
}

// covers reports whether stored has all entries of the other, with as many crashes.
func covers(stored, other storedQuarantine) bool {
	crashes := map[string]int{}
	for _, e := range stored.Entries {
		crashes[e.key()] = e.Crashes
	}
	for _, e := range other.Entries {
		if crashes[e.key()] < e.Crashes {
			return false
		}
	}
	return true
}

func (e *storedEntry) key() string {
	name, err := json.Marshal([]any{e.Fleet, e.Parts})
	if err != nil {
		panic("node: " + err.Error()) // strings can always be encoded
	}
	return string(name)
}

func (n *Node) writeQuarantine(ctx context.Context, object objectstore.Object, missing bool, value storedQuarantine) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if missing {
		_, err = n.Store.Create(ctx, objectstore.KindQuarantine, quarantineObject, text)
	} else {
		object.Value = text
		_, err = n.Store.Update(ctx, object)
	}
	if errors.Is(err, objectstore.ErrConflict) {
		// Another host has written. What it wrote may lack what this one knows.
		wake(n.quarantineChanged)
		return nil
	}
	return err
}

// storedReport returns stored entries as a report with ages.
func (n *Node) storedReport(now time.Time, stored storedQuarantine) *quarantine.Report {
	wall := n.clusterClock.At(now).UnixMilli()
	r := &quarantine.Report{}
	for _, e := range stored.Entries {
		age := max(wall-e.LastCrashMillis, 0)
		r.Entries = append(r.Entries, quarantine.EntryReport{Fleet: e.Fleet, Parts: e.Parts, Crashes: e.Crashes, AgeMillis: age})
	}
	return r
}

// storeEntries returns the entries of this host as they are stored.
func (n *Node) storeEntries(now time.Time) storedQuarantine {
	stored := storedQuarantine{Entries: []storedEntry{}}
	for _, e := range n.quarantine.Entries(now) {
		stored.Entries = append(stored.Entries, storedEntry{
			Fleet: e.Fleet, Parts: e.Parts, Crashes: e.Crashes, LastCrashMillis: n.clusterClock.At(e.LastCrash).UnixMilli(),
		})
	}
	return stored
}
