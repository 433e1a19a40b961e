package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

const (
	// MaxInlineEntries is the maximum number of audit entries stored together with the
	// configuration.
	MaxInlineEntries = 100
	// entriesPerPage is the maximum number of entries that are moved to a page.
	entriesPerPage = 50
	// MaxAuditPages is the number of pages that are kept; older ones are deleted.
	MaxAuditPages = 1000
	// deletionAttempts is how often the deletion of an expired page or revision is attempted,
	// each time when another one is written. If all attempts fail, the object stays.
	deletionAttempts = 2
)

// page holds audit entries that were moved out of the configuration object. It is immutable
// once written.
type page struct {
	Entries []Entry `json:"entries"`
}

func pageName(number int) string {
	return fmt.Sprintf("page-%08d", number)
}

// moveOldEntries moves the oldest entries to pages while there are too many entries or the value
// is too large, and returns the value without them. Only entries of earlier generations are
// moved, so that a page never contains a change that was not accepted. The value may still be too
// large when only the newest entry is left.
func moveOldEntries(ctx context.Context, store objectstore.Store, s Stored) (Stored, error) {
	for {
		count, err := entriesToMove(s)
		if err != nil || count == 0 {
			return s, err
		}
		moved, err := writePage(ctx, store, s.AuditPages+1, s.Audit[:count])
		if err != nil {
			return s, err
		}
		s.Audit = dropThrough(s.Audit, moved)
		s.AuditPages++
		deleteOldPages(ctx, store, s.AuditPages)
	}
}

// entriesToMove returns how many of the oldest entries must be moved to a page; zero if none can or
// need be.
func entriesToMove(s Stored) (int, error) {
	old := len(s.Audit) - 1
	if len(s.Audit) > MaxInlineEntries {
		return entriesPerPage, nil
	}
	size, err := encodedSize(s)
	if err != nil || size <= objectstore.MaxValueBytes {
		return 0, err
	}
	return min(old, entriesPerPage), nil
}

// writePage creates a page and returns the generation of its last entry. A page that already
// exists was written by a change that did not complete, by a concurrent one, or by this call if
// the response was lost; its contents are kept. If it does not begin with the first of the entries,
// the error wraps ErrCorrupt.
func writePage(ctx context.Context, store objectstore.Store, number int, entries []Entry) (fleet.Generation, error) {
	value, err := encode(page{Entries: entries})
	if err != nil {
		return 0, err
	}
	_, err = store.Create(ctx, objectstore.KindAudit, pageName(number), value)
	if err == nil {
		return entries[len(entries)-1].To, nil
	}
	if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrUnavailable) {
		return 0, fmt.Errorf("write audit page %d: %w", number, err)
	}
	written, err := readPage(ctx, store, number)
	if err != nil {
		return 0, err
	}
	if len(written.Entries) == 0 || written.Entries[0].ID != entries[0].ID {
		return 0, fmt.Errorf("%w: audit page %d does not continue the trail", ErrCorrupt, number)
	}
	return written.Entries[len(written.Entries)-1].To, nil
}

func readPage(ctx context.Context, store objectstore.Store, number int) (page, error) {
	object, err := store.Get(ctx, objectstore.KindAudit, pageName(number))
	if err != nil {
		return page{}, fmt.Errorf("read audit page %d: %w", number, err)
	}
	var p page
	if err := json.Unmarshal(object.Value, &p); err != nil {
		return page{}, fmt.Errorf("%w: audit page %d: %w", ErrCorrupt, number, err)
	}
	return p, nil
}

// dropThrough returns a copy of the entries without those up to a generation. At least one entry
// must be of a later generation.
func dropThrough(entries []Entry, last fleet.Generation) []Entry {
	keep := slices.IndexFunc(entries, func(e Entry) bool { return e.To > last })
	return slices.Clone(entries[keep:])
}

// deleteOldPages deletes the newest deletionAttempts of the pages that are past retention.
func deleteOldPages(ctx context.Context, store objectstore.Store, newest int) {
	for number := newest - MaxAuditPages; number > newest-MaxAuditPages-deletionAttempts && number > 0; number-- {
		deleteObject(ctx, store, objectstore.KindAudit, pageName(number))
	}
}

// deleteObject deletes an object that is no longer needed, if it exists. If that fails, the object
// stays until the next attempt; see deletionAttempts.
func deleteObject(ctx context.Context, store objectstore.Store, kind objectstore.Kind, name string) {
	object, err := store.Get(ctx, kind, name)
	if err == nil {
		_ = store.Delete(ctx, object)
	}
}

// AuditTrail returns up to limit audit entries, newest first. It ends at the oldest page that is
// still kept.
func AuditTrail(ctx context.Context, store objectstore.Store, limit int) ([]Entry, error) {
	current, err := Read(ctx, store)
	if err != nil {
		return nil, err
	}
	trail := slices.Clone(current.Audit)
	slices.Reverse(trail)
	for number := current.AuditPages; number > 0 && len(trail) < limit; number-- {
		p, err := readPage(ctx, store, number)
		if errors.Is(err, objectstore.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		slices.Reverse(p.Entries)
		trail = append(trail, p.Entries...)
	}
	return trail[:min(limit, len(trail))], nil
}
