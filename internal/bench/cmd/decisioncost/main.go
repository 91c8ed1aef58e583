// Command decisioncost measures the cost of placement decisions at several fleet sizes.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/quetzalstall/quetzalstall/internal/bench"
)

func main() {
	workers := flag.String("workers", "", "fleet sizes, separated by commas; empty is 50,500,3000,12000")
	decisions := flag.Int("decisions", 0, "number of measured decisions at each fleet size; 0 is the default")
	seed := flag.Uint64("seed", 1, "seed")
	flag.Parse()
	settings := bench.CostSettings{Decisions: *decisions, Candidate: bench.Core(), Seed: *seed}
	for _, text := range strings.FieldsFunc(*workers, func(r rune) bool { return r == ',' }) {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 {
			fmt.Fprintf(os.Stderr, "workers: %q is not a positive integer\n", text)
			os.Exit(2)
		}
		settings.Workers = append(settings.Workers, count)
	}
	fmt.Print(bench.MeasureCost(settings).Markdown())
}
