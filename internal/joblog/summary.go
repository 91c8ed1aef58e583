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

// Class is the combination of profile, priority and state by which jobs are grouped in a Summary.
type Class struct {
	Profile  string
	Priority int
	State    string
}

// Totals holds the sums over the timelines of the jobs in a class.
type Totals struct {
	Class
	Jobs   int
	Age    time.Duration
	Phases [phaseCount]time.Duration
}

// Summary holds the time that many jobs spent in each phase.
type Summary struct {
	Classes []Totals
	// Runs is the total run time of all runs by their result, which is "done" or the reason for which the work of the
	// run was lost.
	Runs map[string]time.Duration
}

// Summarize sums the timelines of the jobs that the lines are about, by class. The classes are sorted by priority,
// profile and state. Jobs without a timeline are left out; see NewTimeline.
func Summarize(lines []Line) Summary {
	classes := map[Class]*Totals{}
	summary := Summary{Runs: map[string]time.Duration{}}
	for _, jobLines := range ByJob(lines) {
		timeline, ok := NewTimeline(jobLines)
		if !ok {
			continue
		}
		class := Class{timeline.Profile, timeline.Priority, timeline.State}
		if classes[class] == nil {
			classes[class] = &Totals{Class: class}
		}
		classes[class].add(timeline)
		for result, ran := range timeline.Runs {
			summary.Runs[result] += ran
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

// Write prints a table with the mean time of a job in each phase for each class, and a table of the total run time by
// result.
func (summary Summary) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "profile\tpriority\tstate\tjobs\tage\t")
	for phase := range phaseCount {
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
	for _, result := range slices.Sorted(maps.Keys(summary.Runs)) {
		fmt.Fprintf(table, "%s\t%s\t\n", result, summary.Runs[result].Round(time.Millisecond))
	}
	return table.Flush()
}

func mean(total time.Duration, count int) time.Duration {
	return (total / time.Duration(count)).Round(time.Millisecond)
}

// WriteJob prints the lines of one job in the given order, each with the time since the first line.
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
