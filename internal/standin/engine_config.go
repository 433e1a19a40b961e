package standin

// EngineConfig sets an engine's size and behaviour; zero fields take the defaults.
type EngineConfig struct {
	Name string `json:"name"`
	// Address is "ip:port"; empty is a free port of 127.0.0.1.
	Address string `json:"address"`
	// Models are loaded at the start; empty answers every model.
	Models []string `json:"models"`
	// Slots is the number of requests computed at once.
	Slots int `json:"slots"`
	// TokenMillis is the time of one token, in milliseconds.
	TokenMillis float64 `json:"token_ms"`
	// PrefillTokensPerSecond is how fast a prompt is computed; zero takes no time.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// CacheTokens is the size of the prefix cache.
	CacheTokens int `json:"cache_tokens"`
	BlockTokens int `json:"block_tokens"`
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// LoadLagMillis is how old a reported load may be, in milliseconds.
	LoadLagMillis int `json:"load_lag_ms"`
	// EventDelayMillis is how late cache events can be read, in milliseconds.
	EventDelayMillis int `json:"event_delay_ms"`
	// EventLossEvery drops each so many-th cache event; zero drops none.
	EventLossEvery uint64 `json:"event_loss_every"`
	// KeepMillis is how long a stream without a reader is kept, in milliseconds.
	KeepMillis int `json:"keep_ms"`
	// LoadModelMillis is how long a load order takes, in milliseconds.
	LoadModelMillis int `json:"load_model_ms"`
	// KVBytesPerToken and KVBytesPerSecond give an import's size and pace; a zero
	// pace takes no time.
	KVBytesPerToken  int64   `json:"kv_bytes_per_token"`
	KVBytesPerSecond float64 `json:"kv_bytes_per_second"`
}

// Defaults of an engine.
const (
	defaultSlots           = 8
	defaultTokenMillis     = 5
	defaultCacheTokens     = 64 << 10
	defaultBlockTokens     = 16
	defaultKeepMillis      = 5000
	defaultKVBytesPerToken = 128 << 10
	listenAnywhere         = "127.0.0.1:0"
)

func (c EngineConfig) withDefaults() EngineConfig {
	if c.Address == "" {
		c.Address = listenAnywhere
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.TokenMillis <= 0 {
		c.TokenMillis = defaultTokenMillis
	}
	if c.CacheTokens <= 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.BlockTokens <= 0 {
		c.BlockTokens = defaultBlockTokens
	}
	if c.KeepMillis <= 0 {
		c.KeepMillis = defaultKeepMillis
	}
	if c.KVBytesPerToken <= 0 {
		c.KVBytesPerToken = defaultKVBytesPerToken
	}
	return c
}
