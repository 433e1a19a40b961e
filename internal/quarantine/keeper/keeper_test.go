package keeper

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/standin"
)

var epoch = time.Unix(1_800_000_000, 0)

// newKeeper returns the keeper of a host whose table and wall clock show the same time.
func newKeeper(store objectstore.Store, now *time.Time) *Keeper {
	return New(Config{
		Table: quarantine.NewTable("h", 1), Store: store,
		Now:       func() time.Time { return *now },
		WallClock: func(t time.Time) time.Time { return t },
		Writes:    func() bool { return true },
		Log:       &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
}

func prompt(part string) quarantine.Request {
	return quarantine.Request{Fleet: "f", Parts: []string{part}}
}

// quarantinePart has three endpoints crash because of a part, and lets the quarantine settle.
func quarantinePart(k *Keeper, now *time.Time, part string) {
	for i := range 3 {
		*now = now.Add(time.Second)
		k.Table.Terminated(*now, fmt.Sprint(part, i), *now, prompt(part))
	}
	*now = now.Add(2 * time.Second)
}

func TestHostThatStartsKnowsTheStoredQuarantines(t *testing.T) {
	is := is.New(t)
	store, now := standin.NewStore(standin.StoreConfig{}), epoch
	one, two := newKeeper(store, &now), newKeeper(store, &now)
	quarantinePart(one, &now, "bad")
	is.NoErr(one.sync(context.Background()))
	quarantinePart(two, &now, "worse")
	is.NoErr(two.sync(context.Background()))
	started := newKeeper(store, &now)
	is.NoErr(started.sync(context.Background()))
	is.True(!started.Table.Check(now, prompt("bad"), nil).Allowed)
	is.True(!started.Table.Check(now, prompt("worse"), nil).Allowed)
	is.True(started.Table.Check(now, prompt("good"), nil).Allowed)
}

func TestReleasedQuarantineLeavesTheStore(t *testing.T) {
	is := is.New(t)
	store, now := standin.NewStore(standin.StoreConfig{}), epoch
	one := newKeeper(store, &now)
	quarantinePart(one, &now, "bad")
	is.NoErr(one.sync(context.Background()))
	one.Table.Completed(now, "e", now, prompt("bad"), false)
	is.NoErr(one.sync(context.Background()))
	started := newKeeper(store, &now)
	is.NoErr(started.sync(context.Background()))
	is.True(started.Table.Check(now, prompt("bad"), nil).Allowed)
}

func TestNothingIsWrittenWithoutAChange(t *testing.T) {
	is := is.New(t)
	store, now := standin.NewStore(standin.StoreConfig{}), epoch
	k := newKeeper(store, &now)
	is.NoErr(k.sync(context.Background()))
	is.Equal(len(store.Contents(objectstore.KindQuarantine)), 0)
	quarantinePart(k, &now, "bad")
	is.NoErr(k.sync(context.Background()))
	before := store.Contents(objectstore.KindQuarantine)
	now = now.Add(time.Minute)
	is.NoErr(k.sync(context.Background()))
	is.Equal(store.Contents(objectstore.KindQuarantine), before)
}

func TestUnreadableObjectIsReplaced(t *testing.T) {
	is := is.New(t)
	store, now := standin.NewStore(standin.StoreConfig{}), epoch
	store.Put(objectstore.KindQuarantine, objectName, []byte(`{"entries":"?"}`))
	k := newKeeper(store, &now)
	quarantinePart(k, &now, "bad")
	is.NoErr(k.sync(context.Background()))
	started := newKeeper(store, &now)
	is.NoErr(started.sync(context.Background()))
	is.True(!started.Table.Check(now, prompt("bad"), nil).Allowed)
}

// TestHostThatHearsNoPeerLearnsStoredQuarantines has a host run while another one, of which it hears nothing,
// stores a quarantine.
func TestHostThatHearsNoPeerLearnsStoredQuarantines(t *testing.T) {
	store := standin.NewStore(standin.StoreConfig{WatchWaitMillis: 100})
	now, later := epoch, epoch.Add(time.Minute)
	cutOff := newKeeper(store, &later)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cutOff.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	waitUntil(t, cutOff.Loaded)
	other := newKeeper(store, &now)
	quarantinePart(other, &now, "bad")
	if err := other.sync(ctx); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return !cutOff.Table.Check(later, prompt("bad"), nil).Allowed })
}

// waitUntil waits for a condition, no longer than hosts may take to learn of a quarantine.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not within 3 s")
		}
	}
}
