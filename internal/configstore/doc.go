// Package configstore accepts new configurations. The active configuration and the audit entry
// of each change are parts of one value in the platform, written by one conditional update; a
// change without an audit entry, or an entry without its change, cannot occur. Every change is
// based on a generation. If another change has been accepted since, the change is rejected with
// a three-way difference; nothing is merged.
//
// Every change has a unique ID. If the platform's response is lost, the ID shows whether the
// write took effect, and repeating the same conditional update is safe.
package configstore
