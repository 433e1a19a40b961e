// Package configstore accepts new configurations. The configuration in force and the audit
// entry of each change are one value of the platform, written by one conditional
// update, so that there is no change without its entry and no entry without its
// change. A change is based on a generation; if another has been accepted since, it is
// refused with a three-way difference and nothing is merged.
//
// Each change carries a unique id. When the platform's answer is lost, the id tells
// whether the write took effect, and repeating the same conditional update is safe.
package configstore
