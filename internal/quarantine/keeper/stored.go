package keeper

import (
	"encoding/json"
	"time"

	"rattanchute/internal/quarantine"
)

// stored is the value of the object.
type stored struct {
	Entries []storedEntry `json:"entries"`
}

// storedEntry is a quarantine.Entry.
type storedEntry struct {
	Fleet       string   `json:"fleet,omitempty"`
	Parts       []string `json:"parts,omitempty"`
	Fingerprint string   `json:"fingerprint,omitempty"`
	Crashes     int      `json:"crashes"`
	// LastCrashMillis is the wall-clock time of the last crash in Unix milliseconds.
	LastCrashMillis int64 `json:"last_crash_ms"`
}

// key is equal for entries of the same request, or of the same fleet and parts.
func (e *storedEntry) key() string {
	name, err := json.Marshal([]any{e.Fingerprint, e.Fleet, e.Parts})
	if err != nil {
		panic("keeper: " + err.Error()) // strings can always be encoded
	}
	return string(name)
}

// equals reports whether both have the same entries with the same numbers of crashes. Times differ a little
// from host to host.
func (s stored) equals(other stored) bool {
	crashes := map[string]int{}
	for _, e := range other.Entries {
		crashes[e.key()] = e.Crashes
	}
	for _, e := range s.Entries {
		if crashes[e.key()] != e.Crashes {
			return false
		}
	}
	return len(s.Entries) == len(other.Entries)
}

// report returns the entries with their ages at a wall-clock time.
func (s stored) report(wall time.Time) *quarantine.Report {
	r := &quarantine.Report{}
	for _, e := range s.Entries {
		age := max(wall.UnixMilli()-e.LastCrashMillis, 0)
		r.Entries = append(r.Entries, quarantine.EntryReport{
			Fleet: e.Fleet, Parts: e.Parts, Fingerprint: e.Fingerprint, Crashes: e.Crashes, AgeMillis: age,
		})
	}
	return r
}
