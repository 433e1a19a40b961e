package servebench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Print writes the results as Markdown.
func (r *Results) Print(w io.Writer) {
	p := &printer{w}
	p.line("Median of %d runs, smallest and largest in brackets; %v in all; load average before each run and after the last: %s.",
		len(r.runs), r.elapsed.Round(time.Second), strings.Join(r.loadAverages, ", "))
	p.line("The stand-in and one daemon are processes of their own, the load is a third; arrivals are a Poisson process of the seeds from %d on.", r.plan.Seed)
	r.printLatency(p)
	r.printCost(p)
	r.printGoodput(p)
}

type printer struct{ w io.Writer }

func (p *printer) line(format string, args ...any) { fmt.Fprintf(p.w, format+"\n", args...) }

// values returns the sorted values of one figure over all runs.
func (r *Results) values(figure func(Run) float64) []float64 {
	list := make([]float64, 0, len(r.runs))
	for _, run := range r.runs {
		list = append(list, figure(run))
	}
	slices.Sort(list)
	return list
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// formatFigure formats the median, the minimum and the maximum of sorted values.
func formatFigure(sorted []float64, digits int) string {
	f := func(v float64) string { return fmt.Sprintf("%.*f", digits, v) }
	return fmt.Sprintf("%s [%s, %s]", f(median(sorted)), f(sorted[0]), f(sorted[len(sorted)-1]))
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}

// latencyFigure is one latency that is compared between the variants.
type latencyFigure struct {
	name      string
	quantile  float64
	histogram func(*latencies) *hdrhistogram.Histogram
	// target indicates whether the target for added latency applies.
	target bool
}

func firstTokenLatency(l *latencies) *hdrhistogram.Histogram { return l.firstToken }
func tokenInterval(l *latencies) *hdrhistogram.Histogram     { return l.betweenTokens }

var latencyFigures = []latencyFigure{
	{"first token, p50", 50, firstTokenLatency, false},
	{"first token, p99", 99, firstTokenLatency, true},
	{"between tokens, p50", 50, tokenInterval, false},
	{"between tokens, p99", 99, tokenInterval, true},
}

func (r *Results) printLatency(p *printer) {
	p.line("\n### Added latency at %.0f requests a second, answers of %d tokens %v apart\n", plannedRequestsPerSecond, plannedTokens, plannedTokenInterval)
	p.line("Added is the difference of the quantiles of the two ways in the same run; both carry the same load at the same time. Latency counts from when a request was due.\n")
	p.line("| measure, ms | through the daemon | direct | added | target | |")
	p.line("|---|---|---|---|---|---|")
	for _, f := range latencyFigures {
		proxied := r.values(func(run Run) float64 { return milliseconds(quantile(f.histogram(run.steady.proxied), f.quantile)) })
		direct := r.values(func(run Run) float64 { return milliseconds(quantile(f.histogram(run.steady.direct), f.quantile)) })
		added := r.values(func(run Run) float64 {
			return milliseconds(quantile(f.histogram(run.steady.proxied), f.quantile) - quantile(f.histogram(run.steady.direct), f.quantile))
		})
		target, met := "-", "-"
		if f.target {
			target = fmt.Sprintf("at most %.0f", milliseconds(addedLatencyTarget))
			met = verdict(median(added) <= milliseconds(addedLatencyTarget))
		}
		p.line("| %s | %s | %s | %s | %s | %s |", f.name, formatFigure(proxied, 3), formatFigure(direct, 3), formatFigure(added, 3), target, met)
	}
	p.line("\nRequests that failed, through the daemon and direct: %s and %s of %s.",
		formatFigure(r.values(func(run Run) float64 { return float64(run.steady.proxied.failed) }), 0),
		formatFigure(r.values(func(run Run) float64 { return float64(run.steady.direct.failed) }), 0),
		formatFigure(r.values(func(run Run) float64 { return float64(run.steady.proxied.requests) }), 0))
}

// microseconds converts to the unit of the cost table.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func (r *Results) printCost(p *printer) {
	p.line("\n### What the daemon uses\n")
	p.line("| measure | figure |")
	p.line("|---|---|")
	rows := []struct {
		name   string
		digits int
		figure func(Run) float64
	}{
		{fmt.Sprintf("open streams at the window's end (planned %d)", plannedStreams), 0, func(run Run) float64 { return float64(run.steady.openStreams) }},
		{"resident memory then, MB", 1, func(run Run) float64 { return run.steady.resident / 1e6 }},
		{"tokens a second", 0, func(run Run) float64 { return float64(run.steady.proxied.tokens) / r.plan.SteadyWindow.Seconds() }},
		{"processor, cores", 3, func(run Run) float64 { return run.steady.cpu.Seconds() / r.plan.SteadyWindow.Seconds() }},
		{"processor without load, cores", 4, func(run Run) float64 { return run.cost.idle }},
		{fmt.Sprintf("processor an answer of one token, at %.0f a second, us", oneTokenRequestsPerSecond), 0, func(run Run) float64 { return microseconds(run.cost.perRequest()) }},
		{"processor each further token, us", 1, func(run Run) float64 { return microseconds(run.steady.perToken(run.cost, r.plan.SteadyWindow)) }},
	}
	for _, row := range rows {
		p.line("| %s | %s |", row.name, formatFigure(r.values(row.figure), row.digits))
	}
}

func (r *Results) printGoodput(p *printer) {
	p.line("\n### Goodput past the capacity of %d engines with %d slots\n", smallEngines, smallSlots)
	p.line("Good is an answer completed within %v of when it was due, its first token within %v. The daemon cannot be run without admission control: the baseline is the same load sent straight to engines of equal size in turn, at the same time. Capacity, answers a second, by a closed loop straight to those engines: %s. Callers do not come back.\n",
		smallDeadline, firstTokenTarget, formatFigure(r.values(func(run Run) float64 { return run.goodput.capacity }), 1))
	p.line("| offered / capacity | good / capacity, daemon | direct | in time / capacity, daemon | direct | refused, part | first token p50 of those in time, ms | p95 | target | |")
	p.line("|---|---|---|---|---|---|---|---|---|---|")
	for i, level := range levels {
		r.printLevel(p, i, level)
	}
}

func (r *Results) printLevel(p *printer, i int, level float64) {
	ofCapacity := func(n func(levelRun) int) []float64 {
		return r.values(func(run Run) float64 {
			return float64(n(run.goodput.levels[i])) / r.plan.LevelWindow.Seconds() / run.goodput.capacity
		})
	}
	firstToken := func(q float64) []float64 {
		return r.values(func(run Run) float64 {
			return milliseconds(quantile(run.goodput.levels[i].proxied.firstToken.firstToken, q))
		})
	}
	good := ofCapacity(func(l levelRun) int { return l.proxied.good })
	shed := r.values(func(run Run) float64 {
		c := run.goodput.levels[i].proxied
		return float64(c.shed) / float64(max(c.total, 1))
	})
	target, met := "-", "-"
	if level == goodputTargetLevel {
		target = fmt.Sprintf("good at least %.2f", goodputTarget)
		met = verdict(median(good) >= goodputTarget)
	}
	p.line("| %.1f | %s | %s | %s | %s | %s | %s | %s | %s | %s |", level, formatFigure(good, 3),
		formatFigure(ofCapacity(func(l levelRun) int { return l.direct.good }), 3),
		formatFigure(ofCapacity(func(l levelRun) int { return l.proxied.inTime }), 3),
		formatFigure(ofCapacity(func(l levelRun) int { return l.direct.inTime }), 3),
		formatFigure(shed, 3), formatFigure(firstToken(50), 0), formatFigure(firstToken(95), 0), target, met)
}
