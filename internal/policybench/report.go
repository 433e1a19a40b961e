package policybench

import (
	"fmt"
	"io"
)

// Report runs all comparisons and ablations and writes them as Markdown tables. It returns the
// first error of a write.
func (s *Suite) Report(out io.Writer, sites []*Site) error {
	p := &printer{out: out}
	p.line("Median of %d seeds, smallest and largest in brackets; virtual time, production route and admit code.", s.seeds)
	for _, site := range sites {
		p.line("\n### %s: %d runners, %d entry nodes, capacity %.1f answers/s\n", site.Name, site.Runners, entryNodes, s.capacity(site))
		p.line("| scenario | measure | ours | baseline | its figure | ratio | target | met |")
		p.line("|---|---|---|---|---|---|---|---|")
		for _, c := range comparisons {
			s.compare(p, site, c)
		}
		p.line("\nOne mechanism switched off at a time:\n")
		p.line("| scenario | measure | ours | switched off | its figure | off / ours |")
		p.line("|---|---|---|---|---|---|")
		for _, c := range ablations {
			s.ablate(p, site, pair{c.scenario, c.measure, Production, c.baseline})
		}
		for _, c := range withoutPrefixes {
			s.ablate(p, site, c)
		}
	}
	return p.err
}

func (s *Suite) compare(p *printer, site *Site, c comparison) {
	production := s.values(site, c.scenario, Production, c.measure)
	other := s.values(site, c.scenario, c.baseline, c.measure)
	ratio := median(production) / median(other)
	p.line("| %s | %s | %s | %s | %s | %s | %s | %s |", c.scenario.Name, c.measure.name,
		formatRange(production), c.baseline.Name, formatRange(other), figure(ratio), c.target.text,
		c.target.status(median(production), ratio))
}

func (s *Suite) ablate(p *printer, site *Site, c pair) {
	production := s.values(site, c.scenario, c.production, c.measure)
	other := s.values(site, c.scenario, c.baseline, c.measure)
	p.line("| %s | %s | %s | %s | %s | %s |", c.scenario.Name, c.measure.name,
		formatRange(production), c.baseline.Name, formatRange(other), figure(median(other)/median(production)))
}

func (t target) status(production, ratio float64) string {
	switch {
	case t.met == nil:
		return "-"
	case t.met(production, ratio):
		return "met"
	default:
		return "missed"
	}
}

// formatRange formats the median and, in brackets, the lowest and highest of sorted values.
func formatRange(sorted []float64) string {
	return fmt.Sprintf("%s [%s, %s]", figure(median(sorted)), figure(sorted[0]), figure(sorted[len(sorted)-1]))
}

func figure(value float64) string {
	if value >= 100 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3f", value)
}

// printer writes lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", values...)
	}
}
