package configstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/findings"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// maxWriteAttempts limits how often the value with a change is written if responses are lost.
const maxWriteAttempts = 4

// Change is a configuration that an operator wants to activate.
type Change struct {
	// ID is unique to this change. Submitting it again has no further effect: it returns the
	// audit entry or, once this entry was moved to a page, a *ConflictError.
	ID       string
	Operator string
	// Base is the generation that the text was derived from.
	Base fleet.Generation
	// File is the file name used in findings about the text.
	File string
	Text string
}

// Accepted is the result of a change that was accepted.
type Accepted struct {
	Entry Entry
	// Version is the platform's version of the configuration; zero if the change was found to be
	// accepted already, by an earlier call or by a write of this call whose response was lost.
	Version objectstore.Version
}

// Accept validates a change and writes it together with its audit entry. Its errors are a
// findings.List for an invalid text or one that is too large for the platform, a *ConflictError,
// an *UnknownOutcomeError, and wrapped errors of the platform or of a corrupt stored value. After
// all but the *UnknownOutcomeError, this call has not written the change.
func Accept(ctx context.Context, store objectstore.Store, c Change, now time.Time) (Accepted, error) {
	configuration, list := fleet.ParseConfiguration(c.File, []byte(c.Text))
	if err := list.Err(); err != nil {
		return Accepted{}, err
	}
	current, err := Read(ctx, store)
	if err != nil {
		return Accepted{}, err
	}
	a := &acceptance{store: store, change: c, configuration: configuration, now: now}
	return a.run(ctx, current)
}

// acceptance is the state of accepting one change.
type acceptance struct {
	store         objectstore.Store
	change        Change
	configuration *fleet.Configuration
	now           time.Time
}

func (a *acceptance) run(ctx context.Context, current Stored) (Accepted, error) {
	if accepted, resolved, err := a.resolve(ctx, current); resolved {
		return accepted, err
	}
	next, err := a.next(ctx, current)
	if err != nil {
		return Accepted{}, err
	}
	if err := storeRevision(ctx, a.store, current); err != nil {
		return Accepted{}, err
	}
	return a.write(ctx, current, next)
}

// resolve checks the current configuration, with the audit entries stored in it, to find out
// whether the change has already been accepted or can no longer be. If so, it returns true and the
// result of the change.
func (a *acceptance) resolve(ctx context.Context, current Stored) (Accepted, bool, error) {
	if entry, found := current.entry(a.change.ID); found {
		return Accepted{Entry: entry}, true, nil
	}
	if current.Generation != a.change.Base {
		return Accepted{}, true, a.conflict(ctx, current)
	}
	return Accepted{}, false, nil
}

// next builds the value that activates the change.
func (a *acceptance) next(ctx context.Context, current Stored) (Stored, error) {
	old, err := current.Configuration()
	if err != nil {
		// The replaced text may be older than a validation rule. It must not prevent its own
		// replacement.
		old = &fleet.Configuration{}
	}
	next := Stored{
		Generation: current.Generation + 1,
		Text:       a.change.Text,
		Audit:      append(current.Audit[:len(current.Audit):len(current.Audit)], a.entry(old, current.Generation)),
		AuditPages: current.AuditPages,
	}
	if next, err = moveOldEntries(ctx, a.store, next); err != nil {
		return Stored{}, err
	}
	if err := a.checkSize(next); err != nil {
		return Stored{}, err
	}
	return next, nil
}

func (a *acceptance) entry(old *fleet.Configuration, from fleet.Generation) Entry {
	differences, omitted := truncateDifferences(Diff(old, a.configuration))
	return Entry{
		ID:          a.change.ID,
		Operator:    a.change.Operator,
		At:          a.now,
		From:        from,
		To:          from + 1,
		Differences: differences,
		Omitted:     omitted,
	}
}

func (a *acceptance) checkSize(next Stored) error {
	size, err := encodedSize(next)
	if err != nil {
		return err
	}
	if size <= objectstore.MaxValueBytes {
		return nil
	}
	return findings.List{{
		File:     a.change.File,
		Line:     1,
		Column:   1,
		Message:  fmt.Sprintf("the configuration takes %d bytes in the platform", size),
		Accepted: fmt.Sprintf("accepted are at most %d bytes", objectstore.MaxValueBytes),
	}}
}

// write stores the next value. After an error that does not prove that nothing was written, it
// reads the configuration back. While the platform still holds the old version, or reading fails,
// it repeats the same conditional update, up to maxWriteAttempts times; at most one of them can
// take effect.
func (a *acceptance) write(ctx context.Context, current, next Stored) (Accepted, error) {
	var lost error
	for range maxWriteAttempts {
		object, err := a.put(ctx, current.Version, next)
		switch {
		case err == nil:
			return Accepted{Entry: next.Audit[len(next.Audit)-1], Version: object.Version}, nil
		case !provesNothingWritten(err):
			lost = err
		case lost != nil:
			return Accepted{}, &UnknownOutcomeError{ID: a.change.ID, Err: err}
		default:
			return Accepted{}, fmt.Errorf("write the configuration: %w", err)
		}
		stored, err := Read(ctx, a.store)
		if err != nil {
			lost = err
			continue
		}
		if accepted, resolved, err := a.resolve(ctx, stored); resolved {
			return accepted, err
		}
	}
	return Accepted{}, &UnknownOutcomeError{ID: a.change.ID, Err: lost}
}

// provesNothingWritten reports whether a failed write certainly had no effect. A version
// conflict does not prove this: an earlier write of the same change may have caused it.
func provesNothingWritten(err error) bool {
	return errors.Is(err, objectstore.ErrThrottled) ||
		errors.Is(err, objectstore.ErrTooLarge) ||
		errors.Is(err, objectstore.ErrNotFound)
}

func (a *acceptance) put(ctx context.Context, version objectstore.Version, next Stored) (objectstore.Object, error) {
	value, err := encode(next)
	if err != nil {
		return objectstore.Object{}, err
	}
	if version == 0 {
		return a.store.Create(ctx, objectstore.KindConfiguration, CurrentName, value)
	}
	return a.store.Update(ctx, objectstore.Object{
		Kind:    objectstore.KindConfiguration,
		Name:    CurrentName,
		Version: version,
		Value:   value,
	})
}

// conflict returns a *ConflictError that compares the change with the active configuration and with
// the one that both were derived from, if that is known. It returns another error if the active
// configuration cannot be parsed.
func (a *acceptance) conflict(ctx context.Context, current Stored) error {
	theirs, err := current.Configuration()
	if err != nil {
		return err
	}
	base, known := readRevision(ctx, a.store, a.change.Base)
	conflict := &ConflictError{Base: a.change.Base, Current: current.Generation, BaseKnown: known}
	if !known {
		base = theirs
	}
	conflict.Differences = DiffThreeWay(base, theirs, a.configuration)
	return conflict
}

func encodedSize(s Stored) (int, error) {
	value, err := encode(s)
	return len(value), err
}
