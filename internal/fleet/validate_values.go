package fleet

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"rattanchute/internal/findings/jsonc"
)

// Syntax of names, model names and labels.
var (
	objectName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	modelName  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]{0,126}[A-Za-z0-9])?$`)
	labelKey   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?$`)
	labelValue = regexp.MustCompile(`^([A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?)?$`)
)

const (
	acceptedName       = `accepted are 1 to 63 of a-z, 0-9, ".", "_" and "-", with a letter or digit at both ends`
	acceptedModelName  = `accepted are 1 to 128 letters, digits, ".", "_", ":", "/" and "-", with a letter or digit at both ends`
	acceptedLabelKey   = `accepted are 1 to 63 letters, digits, ".", "_", "/" and "-", with a letter or digit at both ends`
	acceptedLabelValue = `accepted are up to 63 letters, digits, ".", "_" and "-", with a letter or digit at both ends`
	acceptedAddress    = `accepted is "ip:port" with a port from 1 to 65535`
)

// IsKeyHash reports whether s is a SHA-256 digest in lower-case hex.
func IsKeyHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 32 && s == strings.ToLower(s)
}

// IsName reports whether s is a valid name for an object of a configuration.
func IsName(s string) bool {
	return objectName.MatchString(s)
}

// IsAddress reports whether s is an "ip:port" that a client can connect to. The port must not be
// zero, nor the address the unspecified one, such as 0.0.0.0.
func IsAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() > 0 && !address.Addr().IsUnspecified()
}

// uniqueNames reports duplicate names.
type uniqueNames struct {
	doc  *jsonc.Document
	what string
	seen map[string]bool
}

// add checks the syntax of a name and that it is not a duplicate.
func (u *uniqueNames) add(p jsonc.Path, name string) {
	if !IsName(name) {
		u.doc.Add(p, fmt.Sprintf("%s name is %q", u.what, name), acceptedName)
		return
	}
	u.addOnly(p, name)
}

// addOnly checks that a name is not a duplicate, but does not check its syntax.
func (u *uniqueNames) addOnly(p jsonc.Path, name string) {
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	if u.seen[name] {
		u.doc.Add(p, fmt.Sprintf("%s %q is declared twice", u.what, name), "accepted is each "+u.what+" once")
	}
	u.seen[name] = true
}

func (v *validator) checkName(p jsonc.Path, name string) {
	if !IsName(name) {
		v.doc.Add(p, fmt.Sprintf("%s is %q", p.LastKey(), name), acceptedName)
	}
}

func (v *validator) checkLabels(p jsonc.Path, labels Labels) {
	for key, value := range labels {
		if !labelKey.MatchString(key) {
			v.doc.Add(p.Key(key), fmt.Sprintf("label is %q", key), acceptedLabelKey)
		}
		v.checkLabelValue(p.Key(key), value)
	}
}

func (v *validator) checkLabelValue(p jsonc.Path, value string) {
	if !labelValue.MatchString(value) {
		v.doc.Add(p, fmt.Sprintf("label value is %q", value), acceptedLabelValue)
	}
}

func (v *validator) checkAddress(p jsonc.Path, address string, addresses *uniqueNames) {
	if !IsAddress(address) {
		v.doc.Add(p, fmt.Sprintf("address is %q", address), acceptedAddress)
		return
	}
	addresses.addOnly(p, address)
}
