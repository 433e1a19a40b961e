package jsonc

import "fmt"

// CheckInt adds a finding unless least <= n <= most.
func (d *Document) CheckInt(p Path, n, least, most int64) {
	if n < least || n > most {
		d.Add(p, fmt.Sprintf("%s is %d", p.LastKey(), n), fmt.Sprintf("accepted is %d to %d", least, most))
	}
}

// CheckFloat adds a finding unless least <= n <= most.
func (d *Document) CheckFloat(p Path, n, least, most float64) {
	if n >= least && n <= most {
		return
	}
	d.Add(p, fmt.Sprintf("%s is %g", p.LastKey(), n), fmt.Sprintf("accepted is %g to %g", least, most))
}
