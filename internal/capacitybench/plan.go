// Package capacitybench measures the cost of the control traffic between daemons in bytes,
// processor time, memory and platform calls. It uses the measured slopes to calculate the cost at
// the planned size.
package capacitybench

import "time"

// The planned size of the deployment.
const (
	planNodes          = 370
	planHosts          = 1600
	planDataCentres    = 11
	planRegions        = 3
	planChangesPerDay  = 1700.0
	planRestartsPerDay = 590.0
	day                = 24 * time.Hour
	// planHostChangesPerDay is the number of phase changes of hosts: each restarted or replaced
	// host enters three phases, leaving, gone and live.
	planHostChangesPerDay = 3 * planRestartsPerDay
	// planPollsPerSecond is the number of load polls that a node makes per second.
	planPollsPerSecond = 28.0
)

// The largest values that pass: traffic, processor and memory of one node, the times until a change
// is known everywhere, calls and writes per second of all nodes to the platform, and the factor by
// which the calls may grow from a small cluster to the planned size. The writes are not measured
// yet, so budgetPlatformWrites is not compared with anything.
const (
	budgetBytesPerSecond = 22_000.0
	budgetCore           = 0.013
	budgetMemory         = 128e6
	budgetApplyTime      = 17 * time.Second
	budgetLeavingTime    = 4 * time.Second
	budgetPlatformCalls  = 2000.0
	budgetPlatformWrites = 300.0
	budgetCallGrowth     = 4.0
	// packetOverheadBytes is the size of the TCP/IP headers of one packet.
	packetOverheadBytes = 52.0
	// packetsPerMessage counts the request, the response and one acknowledgement.
	packetsPerMessage = 3.0
)

func perSecond(perDay float64) float64 { return perDay / day.Seconds() }
