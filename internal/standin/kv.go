package standin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/engine"
)

// kvFetchTimeout bounds an import's call to the exporting engine.
const kvFetchTimeout = 2 * time.Second

// kvHashes is what stands for the KV cache's content between engines.
type kvHashes struct {
	Hashes []uint64 `json:"hashes"`
}

// ExportKV holds a stream's KV cache ready for another engine for the keep time.
func (e *Engine) ExportKV(id engine.StreamID) (engine.KVBlob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return engine.KVBlob{}, engine.ErrNoStream
	}
	hashes := s.hashes()
	e.exports[id] = hashes
	time.AfterFunc(millis(e.config.KeepMillis), func() { e.forgetExport(id) })
	return engine.KVBlob{
		Stream: id,
		Source: e.Address(),
		Tokens: len(hashes),
		Bytes:  int64(len(hashes)) * e.config.KVBytesPerToken,
	}, nil
}

func (e *Engine) forgetExport(id engine.StreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, id)
}

// ImportKV fetches an exported KV cache from its source and caches it.
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
		return nil, fmt.Errorf("standin: KV source answered %d", status)
	}
	var k kvHashes
	if err := json.Unmarshal(body, &k); err != nil {
		return nil, err
	}
	return k.Hashes, nil
}

// exported returns the content of a held export.
func (e *Engine) exported(id engine.StreamID) ([]uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hashes, ok := e.exports[id]
	return hashes, ok
}
