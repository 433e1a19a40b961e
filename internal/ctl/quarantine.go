package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"rattanchute/internal/ctl/api"
)

// quarantinesResult is the JSON output of the quarantines and release commands.
type quarantinesResult struct {
	api.Quarantines
}

func (q quarantinesResult) text(w io.Writer) {
	if len(q.Quarantines.Quarantines) == 0 {
		fmt.Fprintln(w, "no quarantines")
		return
	}
	table := newTable(w)
	fmt.Fprintln(table, "FLEET\tPARTS\tREQUEST\tCRASHES\tLAST CRASH\tPROBE AT")
	for _, e := range q.Quarantines.Quarantines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", orDash(e.Fleet), orDash(strings.Join(e.Parts, ",")),
			orDash(e.Fingerprint), e.Crashes,
			e.LastCrash.UTC().Format(time.RFC3339), e.ProbeAt.UTC().Format(time.RFC3339))
	}
	_ = table.Flush()
}

func (c *command) quarantines() (result, error) {
	list, err := c.client.Quarantines()
	if err != nil {
		return nil, err
	}
	return quarantinesResult{list}, nil
}

// orDash returns the text, and a dash for an empty one.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (c *command) release() (result, error) {
	return c.endQuarantine(api.ReleaseRequest{Fleet: c.opts.fleet, Parts: strings.Split(c.opts.parts, ",")})
}

func (c *command) releaseRequest() (result, error) {
	return c.endQuarantine(api.ReleaseRequest{Fingerprint: c.opts.fingerprint})
}

func (c *command) endQuarantine(request api.ReleaseRequest) (result, error) {
	left, err := c.client.Release(request)
	if err != nil {
		return nil, err
	}
	return quarantinesResult{left}, nil
}
