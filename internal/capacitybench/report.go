package capacitybench

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// Row is one figure at the planned size.
type Row struct {
	Name   string
	Value  float64
	Budget float64
	Unit   string
	// FitResidual is the residual of the line from which the value is calculated, at least in part;
	// zero if it is calculated from no line or is a ratio.
	FitResidual float64
	// Basis describes how the value was determined.
	Basis string
}

// Fits reports whether the value is within its budget.
func (r Row) Fits() bool { return r.Value <= r.Budget }

// Results holds the measurements of one run.
type Results struct {
	loopback        loopback
	request         requestCost
	poll            requestCost
	steadyState     []steadyState
	applyTimes      []propagationTime
	leavingTimes    []propagationTime
	textBytes       int
	compressedBytes int
	memoryByHosts   Line
}

func (r Results) planned() steadyState { return r.steadyState[len(r.steadyState)-1] }

// Rows calculates the figures at the planned size.
func (r Results) Rows() []Row {
	s := r.planned()
	messages := r.messageBytes()
	polls := planPollsPerSecond * r.pollBytes()
	core := s.core + s.requestsPerSecond/2*r.request.core
	pollCore := planPollsPerSecond * r.poll.core
	memory := s.memory + r.loopback.memoryByNodes.At(planNodes)
	calls := r.platformCalls(planDataCentres, planChangesPerDay, planRestartsPerDay)
	smallCalls := r.platformCalls(dataCentresPerCluster, planChangesPerDay, planRestartsPerDay*slopeClusterNodes/planNodes)
	rows := []Row{
		{"member and spread: bytes sent and received", messages, budgetBytesPerSecond, "B/s", 0, "370 nodes in virtual time, JSON encoded; HTTP headers measured, TCP/IP headers by arithmetic"},
		{fmt.Sprintf("load polls, %.0f a second: bytes sent and received", planPollsPerSecond), polls, budgetBytesPerSecond, "B/s", 0, "one poll on loopback; TCP/IP headers by arithmetic"},
		{"control, all together: bytes sent and received", messages + polls, budgetBytesPerSecond, "B/s", 0, "sum of the two rows above"},
		{"member and spread: processor", core, budgetCore, "core", 0, "370 nodes in virtual time plus one HTTP request's cost a request"},
		{fmt.Sprintf("load polls, %.0f a second: processor, both sides", planPollsPerSecond), pollCore, budgetCore, "core", 0, "one poll on loopback"},
		{"control, all together: processor", core + pollCore, budgetCore, "core", 0, "sum of the two rows above"},
		{"member and spread: memory", memory, budgetMemory, "B", r.loopback.memoryByNodes.Residual, "370 nodes in virtual time plus the loopback line at 370"},
		{"platform calls of all nodes", calls, budgetPlatformCalls, "calls/s", r.loopback.callsByChanges.Residual, "slopes, at 11 data centres"},
		{"platform calls, 370 nodes over 9", calls / smallCalls, budgetCallGrowth, "times", 0, "slopes, at 11 and 4 data centres"},
	}
	for _, t := range r.applyTimes {
		rows = append(rows, timeRow("in force p100, "+t.scenario, t, budgetApplyTime))
	}
	for _, t := range r.leavingTimes {
		rows = append(rows, timeRow("leaving known p100, "+t.scenario, t, budgetLeavingTime))
	}
	return rows
}

// messageBytes is the number of bytes, including headers, that membership and gossip send and
// receive per second.
func (r Results) messageBytes() float64 {
	s := r.planned()
	return s.bytesPerSecond + s.requestsPerSecond*(r.request.bytes+packetsPerMessage*packetOverheadBytes)
}

func (r Results) pollBytes() float64 { return r.poll.bytes + packetsPerMessage*packetOverheadBytes }

func (r Results) pollsThatFit() float64 {
	return (budgetBytesPerSecond - r.messageBytes()) / r.pollBytes()
}

func timeRow(name string, t propagationTime, budget time.Duration) Row {
	value := t.p100.Seconds()
	if t.unreached > 0 {
		value = math.Inf(1)
	}
	basis := fmt.Sprintf("370 nodes in virtual time, p50 %.2f s, not reached %d", t.p50.Seconds(), t.unreached)
	if t.bytes > 0 {
		basis += fmt.Sprintf(", %.0f B a node in %v", t.bytes, scenarioDuration)
	}
	return Row{Name: name, Value: value, Budget: budget.Seconds(), Unit: "s", Basis: basis}
}

// platformCalls calculates the platform calls per second of all nodes: the watches that the relays
// of each data centre renew, one list per minute, the calls caused by changes, and those of nodes
// that start and leave.
func (r Results) platformCalls(dataCentres, changes, restarts float64) float64 {
	const relays, kinds, watchSeconds, listSeconds = 2.0, 2.0, 60.0, 60.0
	watchCalls := relays*kinds*dataCentres/watchSeconds + 1/listSeconds
	// The slopes apply to one of slopeClusterNodes nodes in dataCentresPerCluster data centres.
	byChange := r.loopback.callsByChanges.Slope * slopeClusterNodes / dataCentresPerCluster * dataCentres
	byRestart := r.loopback.callsByRestarts.Slope * slopeClusterNodes
	// Restarted hosts cause changes as well.
	return watchCalls + byChange*perSecond(changes+3*restarts) + byRestart*perSecond(restarts)
}

// Print writes the lines and the rows, followed by a verdict.
func (r Results) Print(w io.Writer) {
	fmt.Fprintf(w, "configuration text %d B, compressed %d B\n", r.textBytes, r.compressedBytes)
	fmt.Fprintf(w, "HTTP request: %.0f B of headers, %.1f us of processor\n", r.request.bytes, r.request.core*1e6)
	fmt.Fprintf(w, "load poll: %.0f B, %.1f us of processor on both sides\n", r.poll.bytes, r.poll.core*1e6)
	for _, l := range r.lines() {
		fmt.Fprintf(w, "slope: %s = %.4g + %.4g x %s, residual %.2g %s, points %s\n",
			l.Name, l.Intercept, l.Slope, l.XName, l.Residual, l.Unit, pointsOf(l))
	}
	for _, s := range r.steadyState {
		fmt.Fprintf(w, "virtual: %d nodes, %.0f B/s of messages, %.2f requests/s, %.5f core, %.3g B of memory a node; a start takes %.0f B and %v\n",
			s.nodes, s.bytesPerSecond, s.requestsPerSecond, s.core, s.memory, s.startBytes, s.startTime)
	}
	fmt.Fprintf(w, "load polls a second that fit beside member and spread: %.1f\n", r.pollsThatFit())
	var over []string
	for _, row := range r.Rows() {
		verdict := "fits"
		if !row.Fits() {
			verdict = "over"
			over = append(over, row.Name)
		}
		fmt.Fprintf(w, "| %s | %.4g %s | +-%.2g | %.4g | %.3f | %s | %s |\n",
			row.Name, row.Value, row.Unit, row.FitResidual, row.Budget, row.Value/row.Budget, verdict, row.Basis)
	}
	if len(over) == 0 {
		fmt.Fprintln(w, "capacity: fits")
		return
	}
	fmt.Fprintf(w, "capacity: over: %s\n", strings.Join(over, "; "))
}

func (r Results) lines() []Line {
	b := r.loopback
	return []Line{
		b.bytesByNodes, b.coreByNodes, b.callsByNodes, b.memoryByNodes, b.bytesByChanges, b.coreByChanges,
		b.callsByChanges, b.bytesByHosts, b.bytesByRestarts, b.callsByRestarts, r.steadyLine(), r.memoryByHosts,
	}
}

// steadyLine is the traffic at the planned rates, depending on the number of nodes. It includes HTTP
// headers but no TCP/IP headers.
func (r Results) steadyLine() Line {
	var points []Point
	for _, s := range r.steadyState {
		points = append(points, Point{float64(s.nodes), s.bytesPerSecond + s.requestsPerSecond*r.request.bytes})
	}
	return Fit("bytes a second, planned rates", "B/s", "nodes", points)
}

func pointsOf(l Line) string {
	var out []string
	for _, p := range l.Points {
		out = append(out, fmt.Sprintf("(%.3g, %.4g)", p.X, p.Y))
	}
	return strings.Join(out, " ")
}
