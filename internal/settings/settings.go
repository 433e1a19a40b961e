// Package settings holds the settings of a single daemon: its name and location, its
// listeners, how it reaches the platform and its peers, its keys and its limits. The
// configuration that all daemons share is in package fleet.
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
	// ShutdownGrace is how long a stopping daemon waits for open requests to end.
	ShutdownGrace Duration `json:"shutdown_grace"`
}

// Listen holds the addresses of the daemon's listeners, each "ip:port".
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Platform holds the settings of the connection to the platform's object service.
type Platform struct {
	URL     string       `json:"url"`
	Token   SecretSource `json:"token"`
	Timeout Duration     `json:"timeout"`
}

// Peers holds the settings of the connections to the other daemons.
type Peers struct {
	// Seeds are the addresses of peers to contact at the start. They may include the
	// daemon's own address.
	Seeds []string `json:"seeds"`
	// Secret is shared by all daemons and authenticates the messages between them.
	Secret SecretSource `json:"secret"`
}

// ResumeTokens holds the signing keys of resume tokens.
type ResumeTokens struct {
	// Keys verify tokens. The first also signs new tokens. All daemons need the same keys.
	Keys []SecretSource `json:"keys"`
}

// Operator is a person or program that may use the operators' API.
type Operator struct {
	Name string `json:"name"`
	// KeyHash is the lower-case hex SHA-256 digest of the operator's key.
	KeyHash string `json:"key_sha256"`
}

// TLS holds the certificates of the callers' and the peers' listener, each of which uses TLS
// only if its certificate is set. There is none for the operators' listener.
type TLS struct {
	Callers Certificate `json:"callers"`
	// Peers is also the client certificate that the daemon presents to its peers. Its
	// ClientCAFile also verifies the certificates of the peers' listeners.
	Peers Certificate `json:"peers"`
	// ReloadInterval is the interval at which the files are read again.
	ReloadInterval Duration `json:"reload_interval"`
}

// Certificate names the files of one listener's certificate.
type Certificate struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// ClientCAFile is a PEM file with the CAs of client certificates. If it is set, clients
	// must present a certificate.
	ClientCAFile string `json:"client_ca_file"`
}

// Enabled reports whether the listener uses TLS.
func (c Certificate) Enabled() bool {
	return c.CertFile != ""
}

// Limits bound the resources that callers can occupy.
type Limits struct {
	// MemoryBytes is the memory that the process may take; zero means that of its control group or its machine.
	MemoryBytes  int64 `json:"memory_bytes"`
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BodyMemoryBytes bounds the memory of all bodies that are held at once; zero means bodiesAtOnce of the largest.
	BodyMemoryBytes   int64    `json:"body_memory_bytes"`
	MaxHeaderBytes    int64    `json:"max_header_bytes"`
	ReadHeaderTimeout Duration `json:"read_header_timeout"`
	// MaxOpenStreams bounds the streams that are open at once.
	MaxOpenStreams int `json:"max_open_streams"`
	// StreamBufferChunks bounds the chunks that are buffered for a slow caller.
	StreamBufferChunks int `json:"stream_buffer_chunks"`
}

// bodiesAtOnce is how many bodies of the largest size the default memory for bodies has room for.
const bodiesAtOnce = 32

// BodyMemory returns the memory that all bodies together may take, in bytes.
func (l Limits) BodyMemory() int64 {
	if l.BodyMemoryBytes > 0 {
		return l.BodyMemoryBytes
	}
	return bodiesAtOnce * l.MaxBodyBytes
}

// Default returns the default settings.
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
