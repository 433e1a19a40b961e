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
	fmt.Fprintln(table, "FLEET\tPARTS\tCRASHES\tLAST CRASH\tPROBE AT")
	for _, e := range q.Quarantines.Quarantines {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", e.Fleet, strings.Join(e.Parts, ","), e.Crashes,
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

func (c *command) release() (result, error) {
	left, err := c.client.Release(api.ReleaseRequest{Fleet: c.opts.fleet, Parts: strings.Split(c.opts.parts, ",")})
	if err != nil {
		return nil, err
	}
	return quarantinesResult{left}, nil
}
