package configstore

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/findings"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func text(dataCentres ...string) string {
	var objects []string
	for _, name := range dataCentres {
		objects = append(objects, fmt.Sprintf(`{"name": %q, "region": "r"}`, name))
	}
	return `{"data_centres": [` + strings.Join(objects, ",") + `]}`
}

func mustAccept(t *testing.T, store objectstore.Store, c Change) Accepted {
	t.Helper()
	accepted, err := Accept(t.Context(), store, c, now)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

func TestAcceptWritesTheAuditEntryWithTheChange(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	mustAccept(t, store, Change{ID: "a", Operator: "ana", Text: text("north")})
	mustAccept(t, store, Change{ID: "b", Operator: "bo", Base: 1, Text: text("north", "south")})
	stored, err := Read(t.Context(), store)
	is.NoErr(err)
	is.Equal(stored.Generation, fleet.Generation(2))
	last := stored.Audit[1]
	is.Equal(last.Operator, "bo")
	is.Equal(last.Differences[0].String(), `data_centres/south: absent -> {"name":"south","region":"r"}`)
	c, err := stored.Configuration()
	is.NoErr(err)
	is.Equal(c.Generation, fleet.Generation(2))
	again := mustAccept(t, store, Change{ID: "b", Operator: "bo", Base: 1, Text: text("north", "south")})
	is.Equal(again.Entry.To, fleet.Generation(2)) // a repeated change is accepted once
}

func TestAcceptRejectsConflictWithThreeWayDifference(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	mustAccept(t, store, Change{ID: "a", Text: text("north")})
	mustAccept(t, store, Change{ID: "b", Base: 1, Text: `{"data_centres": [{"name": "north", "region": "theirs"}]}`})
	mine := Change{ID: "c", Base: 1, Text: `{"data_centres": [{"name": "north", "region": "yours"}, {"name": "west", "region": "r"}]}`}
	_, err := Accept(t.Context(), store, mine, now)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.True(conflict.BaseKnown)
	is.Equal(len(conflict.Differences), 3)
	is.Equal(conflict.Differences[0].String(), `data_centres/north region: base "r", theirs "theirs", yours "yours" (both changed)`)
	is.True(!conflict.Differences[1].Conflict)
}

func TestAcceptRejectsInvalidOrOversizedText(t *testing.T) {
	is := is.New(t)
	_, err := Accept(t.Context(), newFakeStore(), Change{ID: "a", File: "f", Text: `{"x": 1}`}, now)
	var list findings.List
	is.True(errors.As(err, &list))
	quotes := "{} //" + strings.Repeat(`"`, fleet.MaxTextBytes-100) + "\n"
	_, err = Accept(t.Context(), newFakeStore(), Change{ID: "a", File: "f", Text: quotes}, now)
	is.True(errors.As(err, &list)) // the text is twice as long once it is escaped
	is.True(strings.Contains(list.Error(), "bytes in the platform"))
}

func TestOldEntriesMoveToPagesWhenValueIsFull(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	filler := "{} //" + strings.Repeat("x", fleet.MaxTextBytes-100) + "\n"
	var many []string
	for i := range maxEntryDifferences {
		many = append(many, fmt.Sprintf("%060d", i))
	}
	const entries = 90
	for i := range entries {
		c := Change{ID: fmt.Sprint(i), Base: fleet.Generation(i), Text: text(many...)}
		if i%2 == 1 {
			c.Text = text()
		}
		if i == entries-1 {
			c.Text = filler
		}
		mustAccept(t, store, c)
	}
	trail, err := AuditTrail(t.Context(), store, 1000)
	is.NoErr(err)
	is.Equal(len(trail), entries)
	for i, e := range trail {
		is.Equal(e.To, fleet.Generation(entries-i))
	}
	stored, err := Read(t.Context(), store)
	is.NoErr(err)
	is.Equal(stored.AuditPages, 1)
}

func TestPageOfIncompleteChangeIsKept(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	for i := range MaxInlineEntries {
		mustAccept(t, store, Change{ID: fmt.Sprint(i), Base: fleet.Generation(i), Text: text()})
	}
	stored, err := Read(t.Context(), store)
	is.NoErr(err)
	value, err := encode(page{Entries: stored.Audit[:3]})
	is.NoErr(err)
	_, err = store.Create(t.Context(), objectstore.KindAudit, pageName(1), value)
	is.NoErr(err)
	mustAccept(t, store, Change{ID: "next", Base: MaxInlineEntries, Text: text()})
	trail, err := AuditTrail(t.Context(), store, 1000)
	is.NoErr(err)
	is.Equal(len(trail), MaxInlineEntries+1)
}

func TestRetentionIsBounded(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	var entries []Entry
	for i := range fleet.Generation(MaxInlineEntries) {
		entries = append(entries, Entry{ID: fmt.Sprint("old-", i), From: i, To: i + 1})
	}
	value, err := encode(Stored{Generation: MaxInlineEntries, Text: text(), Audit: entries, AuditPages: MaxAuditPages})
	is.NoErr(err)
	_, err = store.Create(t.Context(), objectstore.KindConfiguration, CurrentName, value)
	is.NoErr(err)
	_, err = store.Create(t.Context(), objectstore.KindAudit, pageName(1), value)
	is.NoErr(err)
	for i := range fleet.Generation(2 * MaxRevisions) {
		mustAccept(t, store, Change{ID: fmt.Sprint(i), Base: MaxInlineEntries + i, Text: text()})
	}
	_, err = store.Get(t.Context(), objectstore.KindAudit, pageName(1))
	is.True(errors.Is(err, objectstore.ErrNotFound))
	revisions, _, err := store.List(t.Context(), KindRevision)
	is.NoErr(err)
	is.Equal(len(revisions), MaxRevisions)
	_, err = Accept(t.Context(), store, Change{ID: "late", Base: 1, Text: text("d")}, now)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.True(!conflict.BaseKnown)
}
