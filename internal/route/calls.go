package route

import (
	"cmp"
	"path"
	"slices"
	"strings"

	"rattanchute/internal/fleet"
)

// callTable answers whether a call may be repeated.
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
	repeatable bool
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

// Idempotent reports whether a call may be sent again after it may have run. A
// declaration wins, an exact path before the longest prefix; of two equal ones, the
// stricter. Undeclared, only GET, HEAD and OPTIONS are repeatable. A path that is not
// in canonical form is not, since a service may read it as a declared one.
func (t *Table) Idempotent(method, uri string) bool {
	method = strings.ToUpper(method)
	uri, _, _ = strings.Cut(uri, "?")
	if !canonical(uri) {
		return false
	}
	if repeatable, declared := t.calls.exact[callKey{method, uri}]; declared {
		return repeatable
	}
	if repeatable, declared := t.calls.longest(method, uri); declared {
		return repeatable
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

func (c *callTable) longest(method, uri string) (repeatable, declared bool) {
	length := 0
	for _, call := range c.prefixes {
		if declared && len(call.path) < length {
			break
		}
		if call.method != method || !strings.HasPrefix(uri, call.path) {
			continue
		}
		repeatable = call.repeatable && (repeatable || !declared)
		declared = true
		length = len(call.path)
	}
	return repeatable, declared
}

func canonical(uri string) bool {
	if strings.ContainsAny(uri, "%;\\") || !strings.HasPrefix(uri, "/") {
		return false
	}
	clean := path.Clean(uri)
	return uri == clean || uri == clean+"/"
}
