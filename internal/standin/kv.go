package standin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/engine"
)

// kvFetchTimeout limits the request of an import to the exporting engine.
const kvFetchTimeout = 2 * time.Second

// kvHashes is the body of a KV cache transfer. The hash of each token's prefix takes the
// place of the cache content.
type kvHashes struct {
	Hashes []uint64 `json:"hashes"`
}

// ExportKV makes a stream's KV cache available to other engines for the keep time.
func (e *Engine) ExportKV(id engine.StreamID) (engine.KVBlob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return engine.KVBlob{}, engine.ErrNoStream
	}
	hashes := s.hashes()
	e.exports[id] = hashes
	time.AfterFunc(millis(e.config.KeepMillis), func() { e.removeExport(id) })
	return engine.KVBlob{
		Stream: id,
		Source: e.Address(),
		Tokens: len(hashes),
		Bytes:  int64(len(hashes)) * e.config.KVBytesPerToken,
	}, nil
}

func (e *Engine) removeExport(id engine.StreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, id)
}

// ImportKV fetches an exported KV cache from its source and adds it to the prefix cache.
// The cache is chosen before the transfer: if the engine is closed during the transfer,
// its new cache does not get the content.
func (e *Engine) ImportKV(b engine.KVBlob) error {
	e.mu.Lock()
	cache := e.cache
	e.mu.Unlock()
	hashes, err := fetchKV(b)
	if err != nil {
		return err
	}
	if e.config.KVBytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(b.Bytes) / e.config.KVBytesPerSecond * float64(time.Second)))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cache.insert(hashes, time.Now())
	return nil
}

func fetchKV(b engine.KVBlob) ([]uint64, error) {
	uri := "http://" + b.Source + "/v1/kv/content?stream=" + url.QueryEscape(string(b.Stream))
	status, body, err := fasthttp.GetTimeout(nil, uri, kvFetchTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("standin: KV source responded with status %d", status)
	}
	var k kvHashes
	if err := json.Unmarshal(body, &k); err != nil {
		return nil, err
	}
	return k.Hashes, nil
}

// exportedHashes returns the content of an export that is still kept.
func (e *Engine) exportedHashes(id engine.StreamID) ([]uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hashes, ok := e.exports[id]
	return hashes, ok
}
