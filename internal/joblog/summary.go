package joblog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Class is the jobs of one profile and state.
type Class struct {
	Profile  string
	Priority int
	State    string
}

// Totals sums the timelines of a class.
type Totals struct {
	Class
	Jobs   int
	Age    time.Duration
	Phases [phases]time.Duration
}

// Summary says where the time of many jobs went.
type Summary struct {
	Classes []Totals
	// Runs sums the time of runs by what became of them: done, or why their work was lost.
	Runs map[string]time.Duration
}

// Summarize sums the jobs of some logs by profile and state, in the order of priority.
func Summarize(lines []Line) Summary {
	classes := map[Class]*Totals{}
	summary := Summary{Runs: map[string]time.Duration{}}
	for _, of := range ByJob(lines) {
		timeline, ok := NewTimeline(of)
		if !ok {
			continue
		}
		class := Class{timeline.Profile, timeline.Priority, timeline.State}
		if classes[class] == nil {
			classes[class] = &Totals{Class: class}
		}
		classes[class].add(timeline)
		for became, ran := range timeline.Runs {
			summary.Runs[became] += ran
		}
	}
	for _, totals := range classes {
		summary.Classes = append(summary.Classes, *totals)
	}
	slices.SortFunc(summary.Classes, func(a, b Totals) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Profile, b.Profile),
			strings.Compare(a.State, b.State))
	})
	return summary
}

func (totals *Totals) add(timeline *Timeline) {
	totals.Jobs++
	totals.Age += timeline.Ended.Sub(timeline.Submitted)
	for phase, spent := range timeline.Phases {
		totals.Phases[phase] += spent
	}
}

// Write prints the mean time of a job in each phase as a table, then what became of all run time.
func (summary Summary) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "profile\tpriority\tstate\tjobs\tage\t")
	for phase := range phases {
		fmt.Fprintf(table, "%s\t", phase)
	}
	fmt.Fprintln(table)
	for _, totals := range summary.Classes {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%s\t", totals.Profile, totals.Priority, totals.State, totals.Jobs,
			mean(totals.Age, totals.Jobs))
		for _, spent := range totals.Phases {
			fmt.Fprintf(table, "%s\t", mean(spent, totals.Jobs))
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprint(table, "\nruns\ttime\t\n")
	for _, became := range slices.Sorted(maps.Keys(summary.Runs)) {
		fmt.Fprintf(table, "%s\t%s\t\n", became, summary.Runs[became].Round(time.Millisecond))
	}
	return table.Flush()
}

func mean(total time.Duration, count int) time.Duration {
	return (total / time.Duration(count)).Round(time.Millisecond)
}

// WriteJob prints the lines of one job in order.
func WriteJob(output io.Writer, lines []Line) error {
	var first time.Time
	for i, line := range lines {
		if i == 0 {
			first = line.At
		}
		if _, err := fmt.Fprintf(output, "%10.3f s  %s\n", line.At.Sub(first).Seconds(), line.Text); err != nil {
			return err
		}
	}
	return nil
}
