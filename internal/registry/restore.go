package registry

import "time"

// copiedEntryLifetime is how long after a restore of the store the copy may list an endpoint that has
// ended. The platform removes such an entry after three missed heartbeats.
const copiedEntryLifetime = 4 * time.Second

// StoreRestored records that the store was restored from an older copy. Entries that the copy lacks may
// be written again, as after an outage.
func (v *View) StoreRestored(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markRestored(now)
}

func (v *View) markRestored(now time.Time) {
	v.restoredAt = now
	v.recoveredAt = now
}

// endedBefore reports whether a restored store may list an entry only because its copy is from before
// the endpoint ended: this view has seen the removal of the same run.
func (v *View) endedBefore(now time.Time, e *Endpoint) bool {
	if v.restoredAt.IsZero() || now.Sub(v.restoredAt) >= copiedEntryLifetime {
		return false
	}
	r, ok := v.removed[e.ID]
	return ok && sameRun(r.endpoint, *e)
}
