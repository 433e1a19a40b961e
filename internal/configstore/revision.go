package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// KindRevision is the kind of objects that hold the texts of replaced generations. It is
// separate from the configuration, so that watches of the configuration do not transfer them.
const KindRevision objectstore.Kind = "configuration-revisions"

// MaxRevisions is the number of replaced generations that are kept. More stay if deletions fail.
const MaxRevisions = 20

// revision is the text of one accepted generation.
type revision struct {
	Generation fleet.Generation `json:"generation"`
	Text       string           `json:"text"`
}

func revisionName(g fleet.Generation) string {
	return fmt.Sprintf("generation-%012d", g)
}

// storeRevision stores the text that is about to be replaced, and deletes old revisions. Revisions
// are immutable, so an existing one need not be written again.
func storeRevision(ctx context.Context, store objectstore.Store, s Stored) error {
	if s.Generation == 0 {
		return nil
	}
	value, err := encode(revision{Generation: s.Generation, Text: s.Text})
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, KindRevision, revisionName(s.Generation), value)
	if err != nil && !errors.Is(err, objectstore.ErrConflict) {
		return fmt.Errorf("keep generation %d: %w", s.Generation, err)
	}
	deleteOldRevisions(ctx, store, s.Generation)
	return nil
}

// deleteOldRevisions deletes the newest deletionAttempts of the revisions that are past retention.
func deleteOldRevisions(ctx context.Context, store objectstore.Store, newest fleet.Generation) {
	for i := fleet.Generation(0); i < deletionAttempts && newest > MaxRevisions+i; i++ {
		deleteObject(ctx, store, KindRevision, revisionName(newest-MaxRevisions-i))
	}
}

// readRevision returns a replaced generation if it can be read and parsed. Generation zero is the
// empty configuration.
func readRevision(ctx context.Context, store objectstore.Store, g fleet.Generation) (*fleet.Configuration, bool) {
	if g == 0 {
		return &fleet.Configuration{}, true
	}
	object, err := store.Get(ctx, KindRevision, revisionName(g))
	if err != nil {
		return nil, false
	}
	var r revision
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return nil, false
	}
	c, err := parseGeneration(r.Text, g)
	return c, err == nil
}
