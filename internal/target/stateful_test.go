package target

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
)

// submission is one copy of a request and what its caller was told.
type submission struct {
	id         string
	idempotent bool
	told       callerv1.Outcome
	answer     string
	firstSent  int64
}

// oracle holds every submission; the stand-ins' record says what ran.
type oracle struct {
	mu          sync.Mutex
	submissions []*submission
	// faults holds the fault of each request id.
	faults map[string]standin.Fault
}

func (oracle *oracle) faultOf(key string) standin.Fault {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	return oracle.faults[key]
}

// check compares what callers were told with what ran, once nothing runs any more, and returns every breach.
func (oracle *oracle) check(record *standin.Record) (breaches []string) {
	note := func(format string, args ...any) { breaches = append(breaches, fmt.Sprintf(format, args...)) }
	byID := map[string][]*submission{}
	for _, submission := range oracle.submissions {
		byID[submission.id] = append(byID[submission.id], submission)
	}
	for id, copies := range byID {
		runs := record.Runs("reed/" + id)
		if !copies[0].idempotent && runs.Begun > 1 {
			note("%s is not idempotent and ran %d times", id, runs.Begun)
		}
		notRun := 0
		for _, copied := range copies {
			switch copied.told {
			case completed:
				if runs.Ended == 0 || copied.answer != "answer of "+id {
					note("%s was told completed with %q, %d runs ended", id, copied.answer, runs.Ended)
				}
			case refused:
				notRun++
			case unsure:
			default:
				note("%s was told %v", id, copied.told)
			}
		}
		if notRun == len(copies) && runs.Begun > 0 {
			note("%s was told not run by all %d copies and ran %d times", id, notRun, runs.Begun)
		}
	}
	return breaches
}

// step is one move of a sequence, drawn before the sequence runs: a failure, or a submission when it names none.
type step struct {
	failure        string
	id, vm, target int
	on             bool
	limit, pause   time.Duration
}

func drawStep(t *rapid.T, failures []string) step {
	drawn := step{
		id:     rapid.IntRange(0, 9).Draw(t, "id"),
		vm:     rapid.IntRange(0, testSeats-1).Draw(t, "vm"),
		target: rapid.IntRange(0, 1).Draw(t, "target"),
		on:     rapid.Bool().Draw(t, "on"),
		limit:  time.Duration(rapid.IntRange(50, 3000).Draw(t, "limit")) * time.Millisecond,
		pause:  time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
	}
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		drawn.failure = rapid.SampledFrom(failures).Draw(t, "failure")
	}
	return drawn
}

// disturbances are the failures that the sequences choose from.
var disturbances = map[string]func(step, *cluster, *oracle){
	"none":    func(step, *cluster, *oracle) {},
	"silence": func(step step, cluster *cluster, _ *oracle) { cluster.targets[step.target].Silence(3) },
	"cut":     func(step step, cluster *cluster, _ *oracle) { cluster.targets[step.target].CloseConnections() },
	"death":   func(_ step, cluster *cluster, _ *oracle) { cluster.targets[0].Crash() },
	"leaving": func(_ step, cluster *cluster, _ *oracle) {
		cluster.targets[1].Leave()
		listed := cluster.all()
		listed[1].Leaving = true
		cluster.list(listed)
	},
	"replacement":  func(step step, cluster *cluster, _ *oracle) { cluster.replace(step.vm) },
	"partition":    func(step step, cluster *cluster, _ *oracle) { cluster.setDown(step.vm, step.on) },
	"lost answers": func(step step, cluster *cluster, _ *oracle) { cluster.setLost(step.vm, step.on) },
	"crossed":      faultOnID(standin.FaultCrossed),
	"truncated":    faultOnID(standin.FaultTruncated),
	"late":         faultOnID(standin.FaultLate),
	"refused":      faultOnID(standin.FaultRefused),
	"reset":        faultOnID(standin.FaultReset),
}

var disturbanceNames = []string{
	"none", "silence", "cut", "death", "leaving", "replacement", "partition", "lost answers", "crossed", "truncated", "late",
	"refused", "reset",
}

func faultOnID(kind standin.Fault) func(step, *cluster, *oracle) {
	return func(step step, _ *cluster, oracle *oracle) {
		oracle.mu.Lock()
		defer oracle.mu.Unlock()
		oracle.faults[fmt.Sprintf("reed/id-%d", step.id)] = kind
	}
}

// submit sends one copy of a request; even ids are idempotent, and a copy after the first says so.
func (oracle *oracle) submit(step step, cluster *cluster, callers *sync.WaitGroup) {
	made := &submission{id: fmt.Sprintf("id-%d", step.id), idempotent: step.id%2 == 0}
	call := newCall(made.id, "write", fmt.Sprintf(`{"sleep_ms": %d, "answer": "answer of %s"}`, 40*step.id, made.id))
	if made.idempotent {
		call.Profile = "read"
	}
	oracle.mu.Lock()
	for _, earlier := range oracle.submissions {
		if earlier.id == made.id {
			call.Resubmission = true
			call.FirstSentUnixMs = min(call.GetFirstSentUnixMs(), earlier.firstSent)
		}
	}
	made.firstSent = call.GetFirstSentUnixMs()
	oracle.submissions = append(oracle.submissions, made)
	oracle.mu.Unlock()
	callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), step.limit)
		defer cancel()
		asked := cluster.process(step.vm)
		got := asked.Call(ctx, "reed", call)
		made.told, made.answer = got.GetOutcome(), string(got.GetAnswer())
		if asked.dead.Load() {
			// The caller's connection ended with the process, so it knows nothing.
			made.told = unsure
		}
	})
}

// Guards against any outcome, double run or breach of a limit that the oracle does not permit, with each failure
// alone and with each pair of failures.
func TestRequestPathAgainstOracle(t *testing.T) {
	for i, first := range disturbanceNames {
		for _, second := range disturbanceNames[i:] {
			t.Run(first+" and "+second, func(t *testing.T) {
				rapid.Check(t, func(drawn *rapid.T) {
					steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
						return drawStep(t, []string{first, second})
					}), 5, 25).Draw(drawn, "steps")
					var breaches []string
					synctest.Test(t, func(t *testing.T) { breaches = runSequence(t, steps) })
					if len(breaches) > 0 {
						drawn.Fatalf("%q", breaches)
					}
				})
			})
		}
	}
}

func runSequence(t *testing.T, steps []step) []string {
	oracle := &oracle{faults: map[string]standin.Fault{}}
	cluster := newCluster(t, testSeats, 2, func(cluster *cluster) {
		for _, target := range cluster.targets {
			target.Fault = oracle.faultOf
		}
	})
	var callers sync.WaitGroup
	for _, step := range steps {
		if step.failure != "" {
			disturbances[step.failure](step, cluster, oracle)
		} else {
			oracle.submit(step, cluster, &callers)
		}
		time.Sleep(step.pause)
	}
	callers.Wait()
	cluster.stop()
	return append(oracle.check(cluster.record), cluster.breaches()...)
}

// TestMain fixes the seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(set *flag.Flag) { given[set.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "10", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	m.Run()
}
