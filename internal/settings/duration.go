package settings

import (
	"errors"
	"time"
)

var errDuration = errors.New(`a duration with its unit, such as "5s", "250ms" or "1m30s"`)

// Duration is a time.Duration whose text form has a unit, such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errDuration
	}
	*d = Duration(parsed)
	return nil
}
