package route

import (
	"cmp"
	"path"
	"slices"
	"strings"

	"rattanchute/internal/fleet"
)

// callTable records which calls the fleets declare as idempotent or not.
type callTable struct {
	exact    map[callKey]bool
	prefixes []prefixCall
}

type callKey struct {
	method string
	path   string
}

type prefixCall struct {
	callKey
	idempotent bool
}

func compileCalls(fleets []fleet.Fleet) callTable {
	calls := callTable{exact: make(map[callKey]bool)}
	for _, f := range fleets {
		for _, call := range f.Calls {
			calls.add(call)
		}
	}
	slices.SortStableFunc(calls.prefixes, func(a, b prefixCall) int {
		return cmp.Compare(len(b.path), len(a.path))
	})
	return calls
}

func (c *callTable) add(call fleet.Call) {
	method := strings.ToUpper(call.Method)
	if prefix, ok := strings.CutSuffix(call.Path, "*"); ok {
		c.prefixes = append(c.prefixes, prefixCall{callKey{method, prefix}, call.Idempotent})
		return
	}
	key := callKey{method, call.Path}
	earlier, declared := c.exact[key]
	c.exact[key] = call.Idempotent && (earlier || !declared)
}

// Idempotent reports whether a call may be sent again although an earlier attempt may have run.
// A declared call decides: an exact path takes precedence over path prefixes, and the longest
// prefix over shorter ones; of two equal declarations the stricter one applies. Without a
// declaration only GET, HEAD and OPTIONS are idempotent. A path that is not in canonical form
// is never idempotent, because a service may resolve it to a path that is declared otherwise.
func (t *Table) Idempotent(method, uri string) bool {
	method = strings.ToUpper(method)
	uri, _, _ = strings.Cut(uri, "?")
	if !canonical(uri) {
		return false
	}
	if idempotent, declared := t.calls.exact[callKey{method, uri}]; declared {
		return idempotent
	}
	if idempotent, declared := t.calls.longestPrefix(method, uri); declared {
		return idempotent
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

func (c *callTable) longestPrefix(method, uri string) (idempotent, declared bool) {
	length := 0
	for _, call := range c.prefixes {
		if declared && len(call.path) < length {
			break
		}
		if call.method != method || !strings.HasPrefix(uri, call.path) {
			continue
		}
		idempotent = call.idempotent && (idempotent || !declared)
		declared = true
		length = len(call.path)
	}
	return idempotent, declared
}

func canonical(uri string) bool {
	if strings.ContainsAny(uri, "%;\\") || !strings.HasPrefix(uri, "/") {
		return false
	}
	clean := path.Clean(uri)
	return uri == clean || uri == clean+"/"
}
