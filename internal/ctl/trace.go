package ctl

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"rattanchute/internal/trace"
)

// traceResult is the output of the trace command: the timeline of a request.
type traceResult struct{ trace.Timeline }

func (s traceResult) text(w io.Writer) { s.WriteText(w) }

// trace builds the timeline of a request from log files. The standard input is read if no
// file is given, and in place of a file named "-".
func (c *command) trace() (result, error) {
	var lines []trace.Line
	for name := range strings.SplitSeq(c.opts.logs, ",") {
		in, err := c.openLog(name)
		if err != nil {
			return nil, &usageError{fmt.Sprintf("read the log: %v", err)}
		}
		found, err := trace.Read(in, c.opts.request)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return traceResult{trace.NewTimeline(c.opts.request, lines)}, nil
}

func (c *command) openLog(name string) (io.Reader, error) {
	if name == "" || name == "-" {
		return c.env.Stdin, nil
	}
	text, err := c.env.ReadFile(name)
	return bytes.NewReader(text), err
}
