// Command policybench runs the policy benchmark, prints its tables and writes its reports into a directory.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/bench"
)

func main() {
	deployment := flag.String("deployment", "", "deployments, separated by commas; empty is all")
	workload := flag.String("workload", "", "workloads, separated by commas; empty is all")
	candidate := flag.String("scheduler", "", "schedulers, separated by commas; empty is all")
	seed := flag.Uint64("seed", 0, "seed; 0 selects the default seeds")
	output := flag.String("output", "", "directory of the reports; if empty, no files are written")
	flag.Parse()
	settings := bench.Settings{Deployments: list(*deployment), Workloads: list(*workload), Output: *output}
	if *seed != 0 {
		settings.Seeds = []uint64{*seed}
	}
	for _, known := range bench.Candidates() {
		if *candidate == "" || strings.Contains(","+*candidate+",", ","+known.Name+",") {
			settings.Candidates = append(settings.Candidates, known)
		}
	}
	report, err := bench.Run(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(report.Markdown())
	for _, result := range report.Results {
		for _, violation := range result.Violations {
			fmt.Printf("%s %s %d %s: %s after %s: %s\n",
				result.Deployment, result.Workload, result.Seed, result.Candidate,
				violation.Rule, time.Duration(violation.After), violation.Detail)
		}
	}
}

// list splits a list separated by commas; nil for an empty text.
func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
