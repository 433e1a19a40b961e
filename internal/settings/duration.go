package settings

import (
	"errors"
	"time"
)

var errDuration = errors.New(`a duration with its unit, such as "5s", "250ms" or "1m30s"`)

// Duration is a time.Duration that is written as a string with its unit.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String prints the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText prints the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errDuration
	}
	*d = Duration(parsed)
	return nil
}
