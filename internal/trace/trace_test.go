package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sampleLog is the log of a stream whose first endpoint was lost.
const sampleLog = `  14.7 edge-b {"time":"2026-02-05T01:43:49.118Z","level":"info","node":"edge-b","request":"a39478","route":"r","endpoint":"i-2","sends":1,"message":"request sent"}
not a log line about a39478
{"time":"2026-02-05T01:43:48.342Z","level":"info","node":"edge-b","request":"a39478","route":"r","endpoint":"i-1","sends":0,"expected_ms":80,"message":"request sent"}
{"time":"2026-02-05T01:43:49.116Z","level":"warn","node":"edge-b","request":"a39478","endpoint":"i-1","outcome":"failed","error":"unexpected EOF","after_event":"21","message":"attempt ended without an answer"}
{"time":"2026-02-05T01:43:49.000Z","level":"info","node":"edge-c","request":"other","note":"a39478","message":"request sent"}
{"time":"2026-02-05T01:43:49.900Z","level":"warn","node":"edge-b","request":"a39478","reason":"endpoint_failed","after_event":"40","message":"stream broken"}
`

func TestTimelineIsOrderedAndExplainsTheEnd(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(sampleLog), "a39478")
	is.NoErr(err)
	is.Equal(len(lines), 4)
	timeline := NewTimeline("a39478", lines)
	is.Equal(timeline.Lines[0].Fields["endpoint"], "i-1")
	is.Equal(timeline.Lines[2].Fields["endpoint"], "i-2")
	is.True(strings.Contains(timeline.Conclusion, "cut after a part"))
	is.True(strings.Contains(timeline.Conclusion, "gave no complete answer"))
	var text strings.Builder
	timeline.WriteText(&text)
	is.True(strings.Contains(text.String(), "after_event=21"))
}

func TestRequestWithoutAnEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(NewTimeline("x", nil).Conclusion, "no line about this request")
	lines, err := Read(strings.NewReader(sampleLog), "other")
	is.NoErr(err)
	is.True(strings.Contains(NewTimeline("other", lines).Conclusion, "no line says how it ended"))
}

func TestRefusalWhileAllEndpointsAreClosedNamesTheEnd(t *testing.T) {
	is := is.New(t)
	const refusal = `{"time":"2026-12-04T08:00:00.500Z","level":"warn","node":"edge-a","request":"b1",` +
		`"reason":"endpoints_closed","status":503,"retry_after_ms":2250,"message":"request refused"}`
	lines, err := Read(strings.NewReader(refusal), "b1")
	is.NoErr(err)
	is.True(strings.Contains(NewTimeline("b1", lines).Conclusion, "closed until 08:00:02.750"))
}
