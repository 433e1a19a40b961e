// Package keeper stores a host's quarantines in the object service and reads them from there. Hosts that all
// start at the same time have no other memory of them.
package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/backoff"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/quarantine"
)

const (
	// objectName is the name of the object that holds the quarantines.
	objectName = "entries"
	// writeDelay bounds the random wait before a change is stored. It lets one host write what all have
	// learned.
	writeDelay = 500 * time.Millisecond
	// minRetry and maxRetry bound the wait before a failed call is repeated.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
	// storeSource is the source of what was read from the store, in logs.
	storeSource = "store"
)

// Config is what a Keeper works with.
type Config struct {
	Table *quarantine.Table
	Store objectstore.Store
	// Now returns the time of the table's clock, and WallClock the wall-clock time that corresponds to it.
	Now       func() time.Time
	WallClock func(time.Time) time.Time
	// Writes reports whether this host stores changes, and watches those that others store. At least one host
	// must.
	Writes func() bool
	// OnCall is told the result of each call of the store, and may be nil.
	OnCall func(error)
	Log    *log.Logger
}

// Keeper keeps the quarantines of one host.
type Keeper struct {
	Config
	changed chan struct{}
	loaded  atomic.Bool
}

// New returns a Keeper that does nothing until Run.
func New(c Config) *Keeper { return &Keeper{Config: c, changed: make(chan struct{}, 1)} }

// Loaded reports whether the stored quarantines have been read.
func (k *Keeper) Loaded() bool { return k.loaded.Load() }

// Wake has the stored quarantines compared with those of this host.
func (k *Keeper) Wake() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// LogChanges logs the changes of the quarantines since its last call, and has them stored.
func (k *Keeper) LogChanges() {
	now := k.Now()
	changes := k.Table.TakeChanges(now)
	for _, c := range changes {
		k.Log.Warn().Str("change", string(c.Kind)).Str("fleet", c.Entry.Fleet).Strs("parts", c.Entry.Parts).
			Str("fingerprint", c.Entry.Fingerprint).Int("crashes", c.Entry.Crashes).Int64("last_crash_ms_ago", now.Sub(c.Entry.LastCrash).Milliseconds()).
			Int64("probe_in_ms", c.Entry.ProbeAt().Sub(now).Milliseconds()).Str("source", c.Source).
			Msg("quarantine changed")
	}
	if len(changes) > 0 {
		k.Wake()
	}
}

// Run reads the stored quarantines, and stores each change until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		k.watch(ctx)
	}()
	defer func() { <-watching }()
	k.store(ctx)
}

// store stores each change until the context ends.
func (k *Keeper) store(ctx context.Context) {
	retry := backoff.Backoff{Min: minRetry, Max: maxRetry}
	for {
		err := k.sync(ctx)
		k.observeCall(ctx, err)
		if err != nil {
			if !backoff.Pause(ctx, retry.Next()) {
				return
			}
			continue
		}
		retry.Reset()
		k.loaded.Store(true)
		if !k.awaitChange(ctx) {
			return
		}
	}
}

// awaitChange waits for a change that this host has to store. It returns false if the context ends.
func (k *Keeper) awaitChange(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-k.changed:
		}
		if !backoff.Pause(ctx, rand.N(writeDelay)) {
			return false
		}
		if k.Writes() {
			return true
		}
	}
}

// sync merges the stored quarantines with those of this host, and writes the result unless it is what is
// stored.
func (k *Keeper) sync(ctx context.Context) error {
	object, err := k.Store.Get(ctx, objectstore.KindQuarantine, objectName)
	missing := errors.Is(err, objectstore.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	known := k.apply(object)
	merged := k.current(k.Now())
	if merged.equals(known) || !k.Writes() {
		return nil
	}
	return k.write(ctx, object, missing, merged)
}

func (k *Keeper) write(ctx context.Context, object objectstore.Object, missing bool, value stored) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if missing {
		_, err = k.Store.Create(ctx, objectstore.KindQuarantine, objectName, text)
	} else {
		object.Value = text
		_, err = k.Store.Update(ctx, object)
	}
	if errors.Is(err, objectstore.ErrConflict) {
		// Another host has written, perhaps without what this one knows.
		k.Wake()
		return nil
	}
	return err
}

// current returns the quarantines of this host in their stored form.
func (k *Keeper) current(now time.Time) stored {
	s := stored{Entries: []storedEntry{}}
	for _, e := range k.Table.Entries(now) {
		s.Entries = append(s.Entries, storedEntry{
			Fleet: e.Fleet, Parts: e.Parts, Fingerprint: e.Fingerprint, Crashes: e.Crashes,
			LastCrashMillis: k.WallClock(e.LastCrash).UnixMilli(),
		})
	}
	return s
}
