package costbench

import (
	"fmt"
	"io"

	"github.com/alitto/pond/v2"

	"rattanchute/internal/reclaim"
)

// The targets were stated before the measurements.
const (
	costTarget       = 0.65
	recomputedTarget = 0.15
)

// Report runs all comparisons and writes them as Markdown.
func Report(w io.Writer, pool pond.Pool, seeds int) {
	fmt.Fprintf(w, "Seeds 1 to %d, one day each; median [lowest, highest].\n", seeds)
	for _, s := range Sites() {
		reportCost(w, Measure(pool, s, append([]Variant{Production, OnDemandOnly, CheapestFirst}, CapacityVariants()...), seeds))
	}
	for _, s := range ReclaimSites() {
		reportReclaims(w, Measure(pool, s, append([]Variant{Production, Restart}, ReclaimVariants()...), seeds))
	}
}

func (s Summary) format(digits int) string {
	return fmt.Sprintf("%.*f [%.*f, %.*f]", digits, s.Median, digits, s.Lowest, digits, s.Highest)
}

func reportCost(w io.Writer, series []RunSeries) {
	production, onDemand, cheapest := &series[0], &series[1], &series[2]
	fmt.Fprintf(w, "\n## Cost at the latency target: %s\n\n", production.Site.Name)
	fmt.Fprintln(w, "| policy | cost a day | cost to ours | % over 0.47 s | windows missed of 288 | starts | refused starts | most hosts ready | short plans |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for i := range series {
		d := &series[i]
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", d.Variant.Name,
			d.Summarise(cost).format(0), d.Ratio(production, cost).format(2), d.Summarise(overShare).format(2),
			d.Summarise(missed).format(0), d.Summarise(starts).format(0), d.Summarise(refused).format(0),
			d.Summarise(peakHosts).format(0), d.Summarise(shortPlans).format(0))
	}
	ratio := production.Ratio(onDemand, cost)
	fmt.Fprintf(w, "\n- Cost to %s: %s, target at most %.2f: %s.\n",
		onDemand.Variant.Name, ratio.format(2), costTarget, metOrMissed(ratio.Median <= costTarget))
	bothMissed, cheapestMissed := 0, 0
	for i, r := range cheapest.Results {
		bothMissed += r.MissedByBoth(production.Results[i])
		cheapestMissed += r.Missed()
	}
	fmt.Fprintf(w, "- %s misses %d windows over all seeds, ours misses %d of these, target 0: %s.\n",
		cheapest.Variant.Name, cheapestMissed, bothMissed, metOrMissed(bothMissed == 0))
	fmt.Fprintf(w, "- Ours misses %.0f windows in all.\n", production.Sum(missed))
	traceMisses(w, production)
}

// traceMisses lists the windows in which the policy missed the target.
func traceMisses(w io.Writer, series *RunSeries) {
	for seed, r := range series.Results {
		for i, win := range r.windows {
			if win.missed() {
				fmt.Fprintf(w, "  - seed %d, from minute %d: %d of %d requests over, %d hosts lost by notice in the 10 minutes before\n",
					seed+1, i*int(missWindow.Minutes()), win.overTarget, win.requests, r.lostBefore(i))
			}
		}
	}
}

func reportReclaims(w io.Writer, series []RunSeries) {
	production, restart := &series[0], &series[1]
	fmt.Fprintf(w, "\n## Recomputed tokens under reclaims: %s\n\n", production.Site.Name)
	fmt.Fprintln(w, "| policy | recomputed thousand tokens, all seeds | to restart | moved | cut | planned finish / transfer / recompute | stall p95, s | % over 0.47 s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for i := range series {
		d := &series[i]
		fmt.Fprintf(w, "| %s | %.0f | %.3f | %.0f | %.0f | %.0f / %.0f / %.0f | %s | %s |\n", d.Variant.Name,
			d.Sum(recomputed)/1000, d.Sum(recomputed)/max(restart.Sum(recomputed), 1),
			d.Sum(func(r *Result) float64 { return float64(r.moved) }),
			d.Sum(func(r *Result) float64 { return float64(r.cut) }),
			d.Sum(planned(reclaim.Finish)), d.Sum(planned(reclaim.Transfer)), d.Sum(planned(reclaim.Recompute)),
			d.Summarise(stallSeconds).format(2), d.Summarise(overShare).format(2))
	}
	ratio := production.Ratio(restart, recomputed)
	fmt.Fprintf(w, "\n- Recomputed to %s, by seed: %s, target at most %.2f: %s.\n",
		restart.Variant.Name, ratio.format(3), recomputedTarget, metOrMissed(ratio.Median <= recomputedTarget))
	fmt.Fprintf(w, "- Ours recomputed because: transfer failed %.0f, planned so %.0f, target no longer there %.0f, engine gone before the move %.0f.\n",
		production.Sum(caused(causeTransferFailed)), production.Sum(caused(causePlanned)),
		production.Sum(caused(causeTargetUnavailable)), production.Sum(caused(causeEngineStopped)))
}

func planned(strategy reclaim.Strategy) func(*Result) float64 {
	return func(r *Result) float64 { return float64(r.strategies[strategy]) }
}

func caused(c cause) func(*Result) float64 {
	return func(r *Result) float64 { return float64(r.causes[c]) }
}

func metOrMissed(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
