package capacitybench

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotColumns = 2
	plotWidth   = 22 * vg.Centimeter
	plotHeight  = 18 * vg.Centimeter
)

// Plot writes the main lines with their points to an SVG file.
func (r Results) Plot(path string) error {
	b := r.loopback
	lines := []Line{r.steadyLine(), b.bytesByChanges, b.coreByNodes, b.bytesByRestarts}
	grid := make([][]*plot.Plot, len(lines)/plotColumns)
	for i, l := range lines {
		p, err := plotLine(l)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		grid[i/plotColumns] = append(grid[i/plotColumns], p)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(grid), Cols: plotColumns, PadX: vg.Centimeter, PadY: vg.Centimeter}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		for j, cell := range row {
			grid[i][j].Draw(cell)
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("plot: %w", err)
	}
	return f.Close()
}

func plotLine(l Line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = l.Name
	p.X.Label.Text = l.XName
	p.Y.Label.Text = l.Unit + " a node"
	p.Y.Min = 0
	var points plotter.XYs
	for _, pt := range l.Points {
		points = append(points, plotter.XY{X: pt.X, Y: pt.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	first, last := points[0].X, points[len(points)-1].X
	fitted, err := plotter.NewLine(plotter.XYs{{X: first, Y: l.At(first)}, {X: last, Y: l.At(last)}})
	if err != nil {
		return nil, err
	}
	p.Add(plotter.NewGrid(), fitted, scatter)
	return p, nil
}
