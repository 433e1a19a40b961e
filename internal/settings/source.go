package settings

import (
	"fmt"
	"os"
	"strings"

	"rattanchute/internal/findings/jsonc"
)

// SecretSource names the source of a secret, which is either an environment variable or a
// file. White space around the content of the file is not part of the secret.
type SecretSource struct {
	Env  string `json:"env"`
	File string `json:"file"`
	// Secret is the value that was read. It is not part of the settings file.
	Secret Secret `json:"-"`
}

// Environment gives access to environment variables and files.
type Environment struct {
	LookupEnv func(name string) (string, bool)
	ReadFile  func(name string) ([]byte, error)
}

// ProcessEnvironment returns the environment of this process.
func ProcessEnvironment() Environment {
	return Environment{LookupEnv: os.LookupEnv, ReadFile: os.ReadFile}
}

const acceptedSource = `accepted is {"env": "NAME"} or {"file": "path"}`

// resolveSecret reads the secret of a source and stores it in s.Secret. It adds a finding if s does
// not name exactly one source, or if the secret cannot be read or is shorter than minBytes. A
// finding never contains the value.
func (l *loader) resolveSecret(p jsonc.Path, s *SecretSource, minBytes int) {
	if (s.Env == "") == (s.File == "") {
		l.doc.Add(p, p.LastKey()+" needs one source", acceptedSource)
		return
	}
	value, ok := l.readSource(p, *s)
	if !ok {
		return
	}
	if len(value) < minBytes {
		l.doc.Add(p, fmt.Sprintf("%s has %d bytes", p.LastKey(), len(value)),
			fmt.Sprintf("accepted are at least %d bytes", minBytes))
		return
	}
	s.Secret = NewSecret(value)
}

func (l *loader) readSource(p jsonc.Path, s SecretSource) (string, bool) {
	if s.Env != "" {
		value, set := l.env.LookupEnv(s.Env)
		if !set {
			l.doc.Add(p.Key("env"), fmt.Sprintf("environment variable %q is not set", s.Env), "accepted is a variable that is set")
		}
		return value, set
	}
	raw, err := l.env.ReadFile(s.File)
	if err != nil {
		l.doc.Add(p.Key("file"), fmt.Sprintf("cannot read the file: %v", err), "accepted is a file that can be read")
		return "", false
	}
	return strings.TrimSpace(string(raw)), true
}
