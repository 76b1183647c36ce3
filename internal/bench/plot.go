package bench

import (
	"fmt"
	"html"
	"maps"
	"math"
	"slices"
	"strings"
)

// Sizes of the plot in SVG units.
const (
	plotWidth    = 760.0
	panelHeight  = 150.0
	panelGap     = 40.0
	plotMargin   = 60.0
	labelOffset  = 8.0
	legendOffset = 90.0
)

var lineColors = []string{"#1f6f8b", "#c8553d", "#588157", "#6d597a", "#b08900", "#444444"}

// panel is one chart over time.
type panel struct {
	title string
	lines []line
}

// line is one series of evenly spaced points. NaN leaves a gap.
type line struct {
	name   string
	values []float64
}

// plotReport draws goodput, latency and imbalance over the windows of a run.
func plotReport(r Report) string {
	series := func(name string, value func(Window) float64) line {
		l := line{name: name}
		for _, w := range r.Windows {
			l.values = append(l.values, value(w))
		}
		return l
	}
	panels := []panel{
		{"requests per window", []line{
			series("goodput/s", func(w Window) float64 { return w.GoodputPerSecond }),
			series("not complete", func(w Window) float64 { return float64(w.NotComplete) }),
		}},
		{"latency ms", []line{
			series("p50", func(w Window) float64 { return w.Latency.P50 }),
			series("p99", func(w Window) float64 { return w.Latency.P99 }),
		}},
	}
	var imbalances []line
	for _, s := range slices.Sorted(maps.Keys(r.Services)) {
		imbalances = append(imbalances, series(s, func(w Window) float64 {
			if x, ok := w.Imbalance[s]; ok {
				return x
			}
			return math.NaN()
		}))
	}
	return plot(append(panels, panel{"imbalance (max over mean)", imbalances}))
}

// plot returns an SVG document with the panels below each other.
func plot(panels []panel) string {
	var b strings.Builder
	height := float64(len(panels))*(panelHeight+panelGap) + panelGap
	_, _ = fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %g %g" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth+2*plotMargin, height)
	_, _ = fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, p := range panels {
		p.draw(&b, panelGap+float64(i)*(panelHeight+panelGap))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// draw writes the panel with its upper edge at y = top.
func (p panel) draw(b *strings.Builder, top float64) {
	highest := p.highest()
	_, _ = fmt.Fprintf(b, `<text x="%g" y="%g">%s</text>`+"\n", plotMargin, top-labelOffset, html.EscapeString(p.title))
	_, _ = fmt.Fprintf(b, `<rect x="%g" y="%g" width="%g" height="%g" fill="none" stroke="#999"/>`+"\n", plotMargin, top, plotWidth, panelHeight)
	_, _ = fmt.Fprintf(b, `<text x="%g" y="%g" text-anchor="end">%.4g</text>`+"\n", plotMargin-labelOffset, top+labelOffset, highest)
	_, _ = fmt.Fprintf(b, `<text x="%g" y="%g" text-anchor="end">0</text>`+"\n", plotMargin-labelOffset, top+panelHeight)
	for i, l := range p.lines {
		color := lineColors[i%len(lineColors)]
		_, _ = fmt.Fprintf(b, `<path d="%s" fill="none" stroke="%s"/>`+"\n", l.path(top, highest), color)
		_, _ = fmt.Fprintf(b, `<text x="%g" y="%g" fill="%s">%s</text>`+"\n",
			plotMargin+legendOffset*float64(i+2), top-labelOffset, color, html.EscapeString(l.name))
	}
}

// highest returns the largest value of all lines, at least 1.
func (p panel) highest() float64 {
	highest := 1.0
	for _, l := range p.lines {
		for _, v := range l.values {
			if v > highest {
				highest = v
			}
		}
	}
	return highest
}

// path returns the SVG path data of the line, scaled so that highest is at y = top.
func (l line) path(top, highest float64) string {
	var b strings.Builder
	command := "M"
	step := plotWidth / math.Max(float64(len(l.values)-1), 1)
	for i, v := range l.values {
		if math.IsNaN(v) {
			command = "M"
			continue
		}
		_, _ = fmt.Fprintf(&b, "%s%.1f %.1f", command, plotMargin+float64(i)*step, top+panelHeight*(1-v/highest))
		command = "L"
	}
	return b.String()
}
