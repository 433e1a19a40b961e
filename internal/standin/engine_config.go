package standin

// EngineConfig configures the capacity and the timing of an engine. A field that is zero takes
// its default, if there is one.
type EngineConfig struct {
	Name string `json:"name"`
	// Address is the listen address, "ip:port"; if empty, a free port of 127.0.0.1 is used.
	Address string `json:"address"`
	// Models are the models loaded at startup; if empty, every model is served until the first
	// unload order.
	Models []string `json:"models"`
	// Slots is the number of requests computed concurrently.
	Slots int `json:"slots"`
	// TokenMillis is the time to compute one token, in milliseconds.
	TokenMillis float64 `json:"token_ms"`
	// PrefillTokensPerSecond is the prefill rate; with zero, prefill takes no time.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// CacheTokens is the capacity of the prefix cache; BlockTokens is the size of one of
	// its blocks.
	CacheTokens int `json:"cache_tokens"`
	BlockTokens int `json:"block_tokens"`
	// ChecksFencing makes the engine reject orders whose fencing token is older than the
	// newest one seen.
	ChecksFencing bool `json:"checks_fencing"`
	// LoadLagMillis is the maximum age of a reported load, in milliseconds.
	LoadLagMillis int `json:"load_lag_ms"`
	// EventDelayMillis is the delay until a cache event can be read, in milliseconds.
	EventDelayMillis int `json:"event_delay_ms"`
	// EventLossEvery is n if every n-th cache event is lost; zero loses none.
	EventLossEvery uint64 `json:"event_loss_every"`
	// KeepMillis is how long a stream is kept after its last reader has left, and an exported
	// KV cache after the export, in milliseconds.
	KeepMillis int `json:"keep_ms"`
	// LoadModelMillis is the time to load a model or an adapter, in milliseconds.
	LoadModelMillis int `json:"load_model_ms"`
	// KVBytesPerToken is the size of an exported KV cache per token, and KVBytesPerSecond
	// the transfer rate of an import; with a rate of zero, an import takes no time.
	KVBytesPerToken  int64   `json:"kv_bytes_per_token"`
	KVBytesPerSecond float64 `json:"kv_bytes_per_second"`
}

// Defaults for zero fields of EngineConfig.
const (
	defaultSlots           = 8
	defaultTokenMillis     = 5
	defaultCacheTokens     = 64 << 10
	defaultBlockTokens     = 16
	defaultKeepMillis      = 5000
	defaultKVBytesPerToken = 128 << 10
	anyLocalPort           = "127.0.0.1:0"
)

func (c EngineConfig) withDefaults() EngineConfig {
	if c.Address == "" {
		c.Address = anyLocalPort
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
