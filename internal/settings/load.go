package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"rattanchute/internal/findings"
	"rattanchute/internal/findings/jsonc"
)

// Load reads and validates a settings file and reads the secrets that it names. If there are
// findings, the returned settings are zero.
func Load(file string, env Environment) (Settings, findings.List) {
	text, err := env.ReadFile(file)
	if err != nil {
		return Settings{}, findings.List{{
			File:     file,
			Line:     1,
			Column:   1,
			Message:  fmt.Sprintf("cannot read the file: %v", err),
			Accepted: "accepted is a file that can be read",
		}}
	}
	return Parse(file, text, env)
}

// Parse is Load for the given text. The name of the file is used in findings only.
func Parse(file string, text []byte, env Environment) (Settings, findings.List) {
	l := &loader{doc: jsonc.Parse(file, text), env: env, s: Default()}
	l.doc.Decode(&l.s)
	l.check()
	list := l.doc.Findings()
	if len(list) > 0 {
		return Settings{}, list
	}
	return l.s, nil
}

// loader decodes and validates one settings file.
type loader struct {
	doc *jsonc.Document
	env Environment
	s   Settings
}

// The minimum sizes of secrets.
const (
	minTokenBytes      = 1
	minPeerSecretBytes = 16
	minResumeKeyBytes  = 32
)

func (l *loader) check() {
	top := jsonc.Path{}
	l.checkIdentity(top)
	l.checkListen(top.Key("listen"))
	l.checkPlatform(top.Key("platform"))
	l.checkPeers(top.Key("peers"))
	l.checkResumeTokens(top.Key("resume_tokens").Key("keys"))
	l.checkOperators(top.Key("operators"))
	l.checkTLS(top.Key("tls"))
	l.checkLimits(top.Key("limits"))
	l.checkLoggingAndShutdown(top)
}

func (l *loader) checkPlatform(p jsonc.Path) {
	l.checkURL(p.Key("url"), l.s.Platform.URL)
	l.resolveSecret(p.Key("token"), &l.s.Platform.Token, minTokenBytes)
	l.checkDuration(p.Key("timeout"), l.s.Platform.Timeout, minPlatformTimeout, maxPlatformTimeout)
}

func (l *loader) checkPeers(p jsonc.Path) {
	seen := map[string]bool{}
	for i, seed := range l.s.Peers.Seeds {
		at := p.Key("seeds").Item(i)
		l.checkPeerAddress(at, seed)
		if seen[seed] {
			l.doc.Add(at, fmt.Sprintf("peer %q stands twice", seed), "accepted is each peer once")
		}
		seen[seed] = true
	}
	l.resolveSecret(p.Key("secret"), &l.s.Peers.Secret, minPeerSecretBytes)
}

func (l *loader) checkResumeTokens(p jsonc.Path) {
	if len(l.s.ResumeTokens.Keys) == 0 {
		l.doc.Add(p, "there is no key for resume tokens", "accepted is at least one key")
	}
	for i := range l.s.ResumeTokens.Keys {
		l.resolveSecret(p.Item(i), &l.s.ResumeTokens.Keys[i], minResumeKeyBytes)
	}
}

func (l *loader) checkTLS(p jsonc.Path) {
	l.checkCertificate(p.Key("callers"), l.s.TLS.Callers)
	l.checkCertificate(p.Key("peers"), l.s.TLS.Peers)
	if l.s.TLS.Peers.Enabled() && l.s.TLS.Peers.ClientCAFile == "" {
		l.doc.Add(p.Key("peers"), "client_ca_file is missing", "accepted is the file of the authorities that peers' certificates are verified by")
	}
	l.checkDuration(p.Key("reload_interval"), l.s.TLS.ReloadInterval, minReloadInterval, maxReloadInterval)
}

func (l *loader) checkCertificate(p jsonc.Path, c Certificate) {
	if (c.CertFile == "") != (c.KeyFile == "") {
		l.doc.Add(p, "one of cert_file and key_file is missing", "accepted are both or neither")
		return
	}
	if c.ClientCAFile != "" {
		l.checkClientCA(p.Key("client_ca_file"), c)
	}
	if !c.Enabled() {
		return
	}
	cert, err := l.env.ReadFile(c.CertFile)
	if err != nil {
		l.doc.Add(p.Key("cert_file"), fmt.Sprintf("cannot read the file: %v", err), "accepted is a PEM file that can be read")
		return
	}
	key, err := l.env.ReadFile(c.KeyFile)
	if err != nil {
		l.doc.Add(p.Key("key_file"), fmt.Sprintf("cannot read the file: %v", err), "accepted is a PEM file that can be read")
		return
	}
	if _, err := tls.X509KeyPair(cert, key); err != nil {
		l.doc.Add(p.Key("cert_file"), "the certificate and its key do not fit", "accepted is a PEM certificate with its own key")
	}
}

func (l *loader) checkClientCA(p jsonc.Path, c Certificate) {
	if !c.Enabled() {
		l.doc.Add(p, "client_ca_file without a certificate", "accepted is client_ca_file with cert_file and key_file")
		return
	}
	pem, err := l.env.ReadFile(c.ClientCAFile)
	if err != nil {
		l.doc.Add(p, fmt.Sprintf("cannot read the file: %v", err), "accepted is a PEM file that can be read")
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		l.doc.Add(p, "the file holds no certificate", "accepted is a PEM file with at least one certificate")
	}
}
