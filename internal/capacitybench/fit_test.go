package capacitybench

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFitReturnsLineAndResidual(t *testing.T) {
	is := is.New(t)
	l := Fit("f", "B", "nodes", []Point{{0, 1}, {1, 3}, {2, 5}})
	is.True(math.Abs(l.At(10)-21) < 1e-9)
	is.True(l.Residual < 1e-9)
	l = Fit("f", "B", "nodes", []Point{{0, 1}, {0, -1}, {2, 1}, {2, -1}})
	is.True(math.Abs(l.Residual-1) < 1e-9)
}

func TestVerdictListsExceededBudgets(t *testing.T) {
	is := is.New(t)
	r := Results{steadyState: []steadyState{{nodes: 9}, {nodes: planNodes, core: 2 * budgetCore}}}
	r.applyTimes = []propagationTime{{scenario: "calm", unreached: 1}}
	var out strings.Builder
	r.Print(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	verdict := lines[len(lines)-1]
	is.True(strings.HasPrefix(verdict, "capacity: over: "))
	is.True(strings.Contains(verdict, "member and spread: processor"))
	is.True(strings.Contains(verdict, "in force p100, calm")) // an unreached node exceeds the budget
	is.True(!strings.Contains(verdict, "memory"))
}

func TestVirtualClusterKeepsInvariants(t *testing.T) {
	is := is.New(t)
	s := newVirtualCluster(slopeClusterNodes, 12, true, [][]byte{configurationText(12, 0)})
	bytes, took := s.measureStart(s.Nodes[8])
	is.True(bytes > 0 && took > 0)
	is.Equal(s.violations, 0)
	for _, n := range s.Nodes {
		is.Equal(len(n.StateMachine.HostStates()), 12)
	}
}
