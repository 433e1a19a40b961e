// Package settings holds what one daemon is told when it starts: its name and place,
// where it listens, how it reaches the platform and its peers, its keys and its limits.
// What the fleet as a whole is told is in package fleet.
package settings

import "time"

// Settings are the settings of one daemon.
type Settings struct {
	// Node is the daemon's name, unique among its peers.
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`

	Listen       Listen       `json:"listen"`
	Platform     Platform     `json:"platform"`
	Peers        Peers        `json:"peers"`
	ResumeTokens ResumeTokens `json:"resume_tokens"`
	Operators    []Operator   `json:"operators"`
	TLS          TLS          `json:"tls"`
	Limits       Limits       `json:"limits"`

	LogLevel string `json:"log_level"`
	// ShutdownGrace is how long a stopping daemon waits for open requests.
	ShutdownGrace Duration `json:"shutdown_grace"`
}

// Listen holds the daemon's own addresses, each "ip:port".
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Platform tells how to reach the platform's object service.
type Platform struct {
	URL     string       `json:"url"`
	Token   SecretSource `json:"token"`
	Timeout Duration     `json:"timeout"`
}

// Peers tells how to reach the other daemons.
type Peers struct {
	// Seeds are peers' addresses to ask first; the daemon's own may be among them.
	Seeds []string `json:"seeds"`
	// Secret is shared by all daemons and authenticates their messages.
	Secret SecretSource `json:"secret"`
}

// ResumeTokens holds the keys of resume tokens.
type ResumeTokens struct {
	// Keys verify tokens; the first also signs new ones. All daemons need the same.
	Keys []SecretSource `json:"keys"`
}

// Operator is somebody who may use the operators' interface.
type Operator struct {
	Name string `json:"name"`
	// KeyHash is the lower-case hex SHA-256 digest of the operator's key.
	KeyHash string `json:"key_sha256"`
}

// TLS holds the certificates of the listeners; a listener without one speaks plainly.
type TLS struct {
	Callers Certificate `json:"callers"`
	// Peers is also the certificate that the daemon presents to its peers; its
	// ClientCAFile also verifies theirs.
	Peers Certificate `json:"peers"`
	// ReloadInterval is how often the files are read again.
	ReloadInterval Duration `json:"reload_interval"`
}

// Certificate names the files of one listener's certificate.
type Certificate struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// ClientCAFile holds the authorities whose client certificates are required.
	ClientCAFile string `json:"client_ca_file"`
}

// Enabled tells whether the listener speaks TLS.
func (c Certificate) Enabled() bool {
	return c.CertFile != ""
}

// Limits bound what callers can make the daemon hold.
type Limits struct {
	MaxBodyBytes      int64    `json:"max_body_bytes"`
	MaxHeaderBytes    int64    `json:"max_header_bytes"`
	ReadHeaderTimeout Duration `json:"read_header_timeout"`
	// MaxOpenStreams bounds the streams that are open at once.
	MaxOpenStreams int `json:"max_open_streams"`
	// StreamBufferChunks bounds the chunks kept for one slow caller.
	StreamBufferChunks int `json:"stream_buffer_chunks"`
}

// Default returns the settings that hold where a text gives none.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		TLS:      TLS{ReloadInterval: Duration(time.Minute)},
		Limits: Limits{
			MaxBodyBytes:       4 << 20,
			MaxHeaderBytes:     16 << 10,
			ReadHeaderTimeout:  Duration(5 * time.Second),
			MaxOpenStreams:     4096,
			StreamBufferChunks: 64,
		},
		LogLevel:      "info",
		ShutdownGrace: Duration(30 * time.Second),
	}
}
