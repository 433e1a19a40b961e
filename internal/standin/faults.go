package standin

// Faults are the failures of an engine or a service; the zero value has none.
type Faults struct {
	// Refuse answers with the endpoint's own word that nothing was run.
	Refuse bool `json:"refuse"`
	// Freeze accepts requests and holds them and the open streams until the faults are
	// replaced.
	Freeze bool `json:"freeze"`
	// Die cuts all connections and closes the listener.
	Die bool `json:"die"`
	// CutBeforeRead closes a connection when a request arrives, with nothing read.
	CutBeforeRead bool `json:"cut_before_read"`
	// CutAfterRequestBytes closes the connection once so many bytes of a request
	// have arrived, before it is run; zero is off.
	CutAfterRequestBytes int `json:"cut_after_request_bytes"`
	// CutAfterRun closes the connection of a service after the run, unanswered.
	CutAfterRun bool `json:"cut_after_run"`
	// CutAfterChunks closes a stream's connection after so many chunks; zero is off.
	CutAfterChunks int `json:"cut_after_chunks"`
	// DuplicateChunks sends each chunk twice.
	DuplicateChunks bool `json:"duplicate_chunks"`
	// ForeignChunks sends a chunk of another stream before each chunk.
	ForeignChunks bool `json:"foreign_chunks"`
	// DelayMillis holds each request back before it is run, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// Count is how many requests the faults hit before they end; zero is no limit.
	Count int `json:"count"`
}
