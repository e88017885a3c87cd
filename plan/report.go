package plan

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Text writes an answer as plain text for a terminal.
func (a *Answer) Text(w io.Writer, f *Fleet) {
	if a.Partial {
		fmt.Fprintln(w, "PARTIAL: it was ended before all was answered.")
	}
	fmt.Fprintf(w, "%d boxes, %.1f jobs a second, %.0f s a day.\n\n", a.Boxes, f.Load.Rate, f.dayLength().Seconds())
	for _, line := range a.Fitted {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "By hand, the part of each resource that is used at load 1:")
	for _, l := range a.Bounds[:min(8, len(a.Bounds))] {
		note := ""
		if !l.Hard {
			note = "  (others take over)"
		}
		fmt.Fprintf(w, "  %-28s %-16s %6.1f%%%s\n", l.Resource, l.Where, 100*l.Use, note)
	}
	line := func(o Outcome) {
		fmt.Fprintf(w, "  %-36s service %.3f ± %.3f  worst 10 s %.3f  %-10s %s\n", o.Name, o.Service.Mean, o.Service.Half, o.Worst10s.Mean, o.Verdict, o.Why)
	}
	if a.Today.Days > 0 {
		fmt.Fprintf(w, "\nToday (%d days):\n", a.Today.Days)
		line(a.Today)
	}
	if len(a.Curve) > 0 {
		fmt.Fprintln(w, "\nLoad against service:")
		for _, o := range a.Curve {
			line(o)
		}
	}
	if len(a.First) > 0 {
		if a.Next > 0 {
			fmt.Fprintf(w, "\nThe goals are kept up to load x %.2f and no more from x %.2f on. Fullest there:\n", a.Tip, a.Next)
		} else {
			fmt.Fprintf(w, "\nThe goals are kept up to load x %.2f, the most that was tried. Fullest there:\n", a.Tip)
		}
		for i, l := range a.First {
			fmt.Fprintf(w, "  %d. %s, %s: %.0f%% used, full at load x %.2f\n", i+1, l.Resource, l.Where, 100*l.Use, l.At)
		}
	}
	if a.Fleet != "" {
		fmt.Fprintf(w, "\nBoxes: %s.\n", a.Fleet)
	}
	if len(a.WhatIf) > 0 {
		fmt.Fprintln(w, "\nWhat if:")
		for _, o := range a.WhatIf {
			line(o)
		}
	}
	fmt.Fprintf(w, "\n%.1f s.\n", a.Seconds)
}

var (
	blue = color.RGBA{31, 119, 180, 255}
	band = color.NRGBA{31, 119, 180, 60}
	red  = color.RGBA{214, 39, 40, 255}
)

// svg renders a plot for embedding in a page.
func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(16*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // an embedded SVG has no XML prologue
		text = text[i:]
	}
	return template.HTML(text), nil
}

func axes(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Add(plotter.NewGrid())
	return p
}

// horizontalLine draws a dashed line at a level, such as a goal.
func horizontalLine(p *plot.Plot, from, to, y float64) error {
	l, err := plotter.NewLine(plotter.XYs{{X: from, Y: y}, {X: to, Y: y}})
	if err != nil {
		return err
	}
	l.Color, l.Dashes = red, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	return nil
}

// curvePlot plots service over the load factor, with its confidence band.
func (a *Answer) curvePlot(goal float64) (*plot.Plot, error) {
	p := axes("Service against load", "load factor", "service")
	var mid, up, down plotter.XYs
	for _, o := range a.Curve {
		mid = append(mid, plotter.XY{X: o.Factor, Y: o.Service.Mean})
		up = append(up, plotter.XY{X: o.Factor, Y: min(1, o.Service.Mean+o.Service.Half)})
		down = append(plotter.XYs{{X: o.Factor, Y: max(0, o.Service.Mean-o.Service.Half)}}, down...)
	}
	area, err := plotter.NewPolygon(append(up, down...))
	if err != nil {
		return nil, err
	}
	area.Color, area.LineStyle.Width = band, 0
	line, points, err := plotter.NewLinePoints(mid)
	if err != nil {
		return nil, err
	}
	line.Color, points.Color = blue, blue
	p.Add(area, line, points)
	if err := horizontalLine(p, a.Curve[0].Factor, a.Curve[len(a.Curve)-1].Factor, goal); err != nil {
		return nil, err
	}
	if a.Next > 0 {
		mark, err := plotter.NewLine(plotter.XYs{{X: a.Next, Y: 0}, {X: a.Next, Y: 1}})
		if err != nil {
			return nil, err
		}
		mark.Color = red
		p.Add(mark)
	}
	return p, nil
}

// stationsPlot plots the service of each station's clients over the load factor.
func (a *Answer) stationsPlot(stations []string) (*plot.Plot, error) {
	p := axes("Service by the clients' station", "load factor", "service")
	p.Legend.Left = true
	for i, s := range stations {
		var line plotter.XYs
		for _, o := range a.Curve {
			if x, ok := o.Stations[s]; ok {
				line = append(line, plotter.XY{X: o.Factor, Y: x})
			}
		}
		if len(line) == 0 {
			continue
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(s, l)
	}
	return p, nil
}

// boxesPlot plots service over the number of boxes, with confidence intervals and the goal.
func (a *Answer) boxesPlot(goal float64) (*plot.Plot, error) {
	p := axes("Boxes against the goal", "boxes", "service")
	var points errorPoints
	for _, o := range a.Fleets {
		points.XYs = append(points.XYs, plotter.XY{X: float64(o.Boxes), Y: o.Service.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{o.Service.Half, o.Service.Half})
	}
	line, marks, err := plotter.NewLinePoints(points.XYs)
	if err != nil {
		return nil, err
	}
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return nil, err
	}
	line.Color, marks.Color, bars.Color = blue, blue, blue
	p.Add(line, marks, bars)
	return p, horizontalLine(p, points.XYs[0].X, points.XYs[len(points.XYs)-1].X, goal)
}

type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

// timelinePlot plots service over the day on which a station loses its boxes.
func (a *Answer) timelinePlot(dark, back float64) (*plot.Plot, error) {
	p := axes("The boxes of "+a.Lost+" go dark", "seconds", "service")
	var line plotter.XYs
	for _, w := range a.Timeline {
		if w.Asked > 0 {
			line = append(line, plotter.XY{X: w.From.Seconds(), Y: w.Earned / w.Asked})
		}
	}
	if len(line) == 0 {
		return nil, nil
	}
	l, err := plotter.NewLine(line)
	if err != nil {
		return nil, err
	}
	l.Color = blue
	p.Add(l)
	for _, x := range []float64{dark, back} {
		m, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: 1}})
		if err != nil {
			return nil, err
		}
		m.Color, m.Dashes = red, []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(m)
	}
	return p, nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"three":   func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"factor": func(x float64) string {
		if x == 0 {
			return "never"
		}
		return fmt.Sprintf("%.2f", x)
	},
	"add": func(a, b int) int { return a + b },
}).Parse(`<!doctype html><html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>Capacity plan</title><style>
body{font:15px/1.45 system-ui,sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:1.8em}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}td:first-child{white-space:nowrap}th,td{text-align:left;padding:.25em .6em;border-bottom:1px solid #ddd}
td.n,th.n{text-align:right}.kept{color:#176d2c}.missed{color:#a11}.cant{color:#8a6d00}
.plot svg{width:100%;height:auto}.wide{overflow-x:auto}.key{font-size:1.1em}
@media print{body{margin:0;max-width:none}h2{break-after:avoid}table,.plot{break-inside:avoid}}
</style></head><body>
<h1>Capacity plan</h1>
{{if .A.Partial}}<p class="missed"><b>Partial:</b> the plan was ended before all was answered.</p>{{end}}
<p class="key">{{.A.Boxes}} boxes, {{printf "%.1f" .F.Load.Rate}} jobs a second.
{{if .A.Next}}The goals are kept up to load &times; {{factor .A.Tip}} and no more from &times; {{factor .A.Next}} on.{{else if .A.Tip}}The goals are kept up to load &times; {{factor .A.Tip}}, the most that was tried.{{end}}
{{if .A.Fleet}}{{.A.Fleet}}.{{end}}</p>
{{if .A.First}}<h2>First to give way</h2><ol>{{range .A.First}}<li>{{.Resource}}, {{.Where}}: {{percent .Use}} used there, full at load &times; {{factor .At}}</li>{{end}}</ol>{{end}}
{{if .Curve}}<h2>Load</h2><div class="plot">{{.Curve}}</div><p>The band is the 95% interval of the mean day, the dashed line the goal, the red line where it is missed first.</p>
{{if .Stations}}<div class="plot">{{.Stations}}</div>{{end}}
{{template "rows" .A.Curve}}{{end}}
{{if .Boxes}}<h2>Boxes</h2><div class="plot">{{.Boxes}}</div><p>In the proportions of today's fleet; the bars are 95% intervals, the dashed line the goal for service.</p>{{end}}
{{if .Timeline}}<h2>A station goes dark</h2><div class="plot">{{.Timeline}}</div><p>Service of what was sent in each 2 s; between the dashed lines the boxes are gone.</p>{{end}}
{{define "rows"}}<div class="wide"><table><tr><th>day</th><th class="n">service</th><th class="n">&plusmn;</th><th class="n">worst 10 s</th><th class="n">tries a job</th><th class="n">days</th><th>goals</th><th></th></tr>
{{range .}}<tr><td>{{.Name}}</td><td class="n">{{three .Service.Mean}}</td><td class="n">{{three .Service.Half}}</td><td class="n">{{three .Worst10s.Mean}}</td><td class="n">{{printf "%.2f" .Tries}}</td><td class="n">{{.Days}}</td><td class="{{if eq .Verdict "kept"}}kept{{else if eq .Verdict "missed"}}missed{{else}}cant{{end}}">{{.Verdict}}</td><td>{{.Why}}</td></tr>{{end}}</table></div>{{end}}
{{if .A.WhatIf}}<h2>What if</h2>{{template "rows" .A.WhatIf}}{{end}}
<h2>By hand</h2><div class="wide"><table><tr><th>resource</th><th>where</th><th class="n">used at load 1</th><th class="n">full at load &times;</th><th></th></tr>
{{range .A.Bounds}}<tr><td>{{.Resource}}</td><td>{{.Where}}</td><td class="n">{{percent .Use}}</td><td class="n">{{factor .At}}</td><td>{{if not .Hard}}others take over{{end}}</td></tr>{{end}}</table></div>
{{if .A.Fitted}}<h2>Fitted from captured load</h2><ul>{{range .A.Fitted}}<li>{{.}}</li>{{end}}</ul>{{end}}
<p>Seed {{.A.Seed}}; {{printf "%.1f" .A.Seconds}} s. Forecasts of a model: docs/planner.md says what it leaves out.</p>
</body></html>
`))

// HTML writes an answer as one self-contained page.
func (a *Answer) HTML(w io.Writer, f *Fleet) error {
	data := struct {
		A                                *Answer
		F                                *Fleet
		Curve, Timeline, Stations, Boxes template.HTML
	}{A: a, F: f}
	if len(a.Fleets) > 1 {
		p, err := a.boxesPlot(f.Goals.Service)
		if err != nil {
			return err
		}
		if data.Boxes, err = svg(p); err != nil {
			return err
		}
	}
	if len(a.Curve) > 1 {
		p, err := a.curvePlot(f.Goals.Service)
		if err != nil {
			return err
		}
		if data.Curve, err = svg(p); err != nil {
			return err
		}
		stations, _, _ := f.Names()
		if p, err = a.stationsPlot(stations); err != nil {
			return err
		}
		if data.Stations, err = svg(p); err != nil {
			return err
		}
	}
	if len(a.Timeline) > 0 {
		third := f.dayLength().Seconds() / 3
		p, err := a.timelinePlot(third, 2*third)
		if err != nil {
			return err
		}
		if p != nil {
			if data.Timeline, err = svg(p); err != nil {
				return err
			}
		}
	}
	return page.Execute(w, data)
}
