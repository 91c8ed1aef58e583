package bench

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 18 * vg.Millimeter / 2
)

// plot writes plots of the first seed of each deployment and workload. It plots callers only for WorkloadCallers,
// since other workloads have no large callers.
func (report Report) plot(directory string) error {
	groups := map[string][]Result{}
	var names []string
	for _, result := range report.Results {
		name := result.Deployment + "-" + result.Workload
		if len(groups[name]) == 0 {
			names = append(names, name)
		} else if groups[name][0].Seed != result.Seed {
			continue
		}
		groups[name] = append(groups[name], result)
	}
	for _, name := range names {
		for kind, draw := range map[string]func([]Result) (*plot.Plot, error){
			"completion": plotCompletion, "fragmentation": plotFragmentation, "callers": plotCallers,
		} {
			if kind == "callers" && groups[name][0].Workload != WorkloadCallers {
				continue
			}
			drawn, err := draw(groups[name])
			if err != nil {
				return errors.Wrapf(err, "plot %s of %s", kind, name)
			}
			path := filepath.Join(directory, fmt.Sprintf("%s-%s.svg", name, kind))
			if err := drawn.Save(plotWidth, plotHeight, path); err != nil {
				return errors.Wrap(err, "write a plot")
			}
		}
	}
	return nil
}

// plotCompletion draws the cumulative distribution of the completion times of the jobs outside floods.
func plotCompletion(results []Result) (*plot.Plot, error) {
	return plotLines(results, "completion time (s)", "share of jobs", func(result Result) plotter.XYs {
		var times []float64
		for _, outcome := range result.Outcomes {
			if outcome.Verdict == scheduler.VerdictCompleted && !outcome.Flood {
				times = append(times, outcome.Completion.Seconds())
			}
		}
		slices.Sort(times)
		points := make(plotter.XYs, len(times))
		for i, time := range times {
			points[i] = plotter.XY{X: time, Y: float64(i+1) / float64(len(times))}
		}
		return points
	})
}

// plotFragmentation draws the fragmentation over the window.
func plotFragmentation(results []Result) (*plot.Plot, error) {
	return plotLines(results, "time (min)", "fragmentation", func(result Result) plotter.XYs {
		var points plotter.XYs
		for _, sample := range result.Samples {
			if sample.After <= workloadWindow {
				points = append(points, plotter.XY{X: sample.After.Minutes(), Y: sample.Fragmentation})
			}
		}
		return points
	})
}

// plotLines draws one line for each result that has points.
func plotLines(results []Result, x, y string, pointsOf func(Result) plotter.XYs) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.X.Label.Text, drawn.Y.Label.Text = x, y
	var lines []any
	for _, result := range results {
		if points := pointsOf(result); len(points) > 0 {
			lines = append(lines, result.Candidate, points)
		}
	}
	return drawn, plotutil.AddLines(drawn, lines...)
}

// plotCallers draws the mean slowdowns of small and of large callers.
func plotCallers(results []Result) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Y.Label.Text = "mean slowdown"
	var names []string
	var small, large plotter.Values
	for _, result := range results {
		names = append(names, result.Candidate)
		small = append(small, result.Measures.SmallSlowdown)
		large = append(large, result.Measures.LargeSlowdown)
	}
	for i, values := range []plotter.Values{small, large} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-1) / 2
		drawn.Add(bars)
		drawn.Legend.Add([]string{"small callers", "large callers"}[i], bars)
	}
	drawn.Legend.Top = true
	drawn.NominalX(names...)
	return drawn, nil
}
