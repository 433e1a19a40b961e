// Package capacitybench measures what the control traffic between daemons costs in
// bytes, processor time, memory and platform calls, and works out from the slopes
// what it costs at the planned size.
package capacitybench

import "time"

// The planned size.
const (
	planNodes       = 370
	planHosts       = 1600
	planDataCentres = 11
	planRegions     = 3
	planChanges     = 1700.0
	planRestarts    = 590.0
	day             = 24 * time.Hour
	// planHostChanges is the phases that hosts enter: each restarted or replaced host
	// leaves, goes and comes.
	planHostChanges = 3 * planRestarts
	// planPolls is the load polls a node makes in a second.
	planPolls = 28.0
)

// The budgets of a node and of the platform.
const (
	budgetBytes    = 22_000.0
	budgetCore     = 0.013
	budgetMemory   = 128e6
	budgetForce    = 17 * time.Second
	budgetLeaving  = 4 * time.Second
	budgetReads    = 2000.0
	budgetWrites   = 300.0
	budgetCalls    = 4.0
	packetOverhead = 52.0
	// packetsPerMessage are the request, the answer and one acknowledgement.
	packetsPerMessage = 3.0
)

func perSecond(perDay float64) float64 { return perDay / day.Seconds() }
