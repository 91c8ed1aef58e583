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

// submission is one copy of a request and the response that its caller got.
type submission struct {
	id         string
	idempotent bool
	outcome    callerv1.Outcome
	answer     string
	firstSent  int64
}

// oracle holds every submission. It is compared with the record of the stand-in targets, which holds every run.
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

// check compares the outcomes of all submissions with the runs on the targets and returns a description of every
// violation. It must be called after the last run has ended.
func (oracle *oracle) check(record *standin.Record) (violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	byID := map[string][]*submission{}
	for _, submission := range oracle.submissions {
		byID[submission.id] = append(byID[submission.id], submission)
	}
	for id, copies := range byID {
		runs := record.Runs("reed/" + id)
		if !copies[0].idempotent && runs.Begun > 1 {
			report("%s is not idempotent and ran %d times", id, runs.Begun)
		}
		notRunCopies := 0
		for _, copied := range copies {
			switch copied.outcome {
			case completed:
				if runs.Ended == 0 || copied.answer != "answer of "+id {
					report("%s has outcome completed and answer %q, but %d runs ended", id, copied.answer, runs.Ended)
				}
			case notRun:
				notRunCopies++
			case unknown:
			default:
				report("%s has the unexpected outcome %v", id, copied.outcome)
			}
		}
		if notRunCopies == len(copies) && runs.Begun > 0 {
			report("%s: all %d copies have outcome not run, but it ran %d times", id, notRunCopies, runs.Begun)
		}
	}
	return violations
}

// step is one action of a sequence: a failure if failure is set, and a submission otherwise. on starts or ends a
// failure that lasts, such as a partition. limit is the timeout of a submission, pause the time until the next step. All
// steps are drawn before the sequence runs.
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

// failureInjectors maps the name of each failure to the function that causes it.
var failureInjectors = map[string]func(step, *cluster, *oracle){
	"none":    func(step, *cluster, *oracle) {},
	"silence": func(step step, cluster *cluster, _ *oracle) { cluster.targets[step.target].Silence(3) },
	"cut":     func(step step, cluster *cluster, _ *oracle) { cluster.targets[step.target].CloseConnections() },
	"death":   func(_ step, cluster *cluster, _ *oracle) { cluster.targets[0].Crash() },
	"leaving": func(_ step, cluster *cluster, _ *oracle) {
		cluster.targets[1].Leave()
		listed := cluster.allTargets()
		listed[1].Leaving = true
		cluster.setInventory(listed)
	},
	"replacement":  func(step step, cluster *cluster, _ *oracle) { cluster.replace(step.vm) },
	"partition":    func(step step, cluster *cluster, _ *oracle) { cluster.setDown(step.vm, step.on) },
	"lost answers": func(step step, cluster *cluster, _ *oracle) { cluster.setDropsResponses(step.vm, step.on) },
	"crossed":      faultOnID(standin.FaultCrossed),
	"truncated":    faultOnID(standin.FaultTruncated),
	"late":         faultOnID(standin.FaultLate),
	"refused":      faultOnID(standin.FaultRefused),
	"reset":        faultOnID(standin.FaultReset),
}

var failureNames = []string{
	"none", "silence", "cut", "death", "leaving", "replacement", "partition", "lost answers", "crossed", "truncated",
	"late", "refused", "reset",
}

func faultOnID(kind standin.Fault) func(step, *cluster, *oracle) {
	return func(step step, _ *cluster, oracle *oracle) {
		oracle.mu.Lock()
		defer oracle.mu.Unlock()
		oracle.faults[fmt.Sprintf("reed/id-%d", step.id)] = kind
	}
}

// submit sends one copy of a request. Requests with even ids are idempotent. Every copy but the first is marked as a
// resubmission.
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
		receiver := cluster.process(step.vm)
		got := receiver.Call(ctx, "reed", call)
		made.outcome, made.answer = got.GetOutcome(), string(got.GetAnswer())
		if receiver.killed.Load() {
			// The connection of the caller ended with the process, so the caller got no response.
			made.outcome = unknown
		}
	})
}

// Guards against wrong outcomes, second runs of non-idempotent requests and exceeded limits of targets, with each
// failure alone and with each pair of failures.
func TestRequestPathAgainstOracle(t *testing.T) {
	for i, first := range failureNames {
		for _, second := range failureNames[i:] {
			t.Run(first+" and "+second, func(t *testing.T) {
				rapid.Check(t, func(drawn *rapid.T) {
					steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
						return drawStep(t, []string{first, second})
					}), 5, 25).Draw(drawn, "steps")
					var violations []string
					synctest.Test(t, func(t *testing.T) { violations = runSteps(t, steps) })
					if len(violations) > 0 {
						drawn.Fatalf("%q", violations)
					}
				})
			})
		}
	}
}

func runSteps(t *testing.T, steps []step) []string {
	oracle := &oracle{faults: map[string]standin.Fault{}}
	cluster := newCluster(t, testSeats, 2, func(cluster *cluster) {
		for _, target := range cluster.targets {
			target.Fault = oracle.faultOf
		}
	})
	var callers sync.WaitGroup
	for _, step := range steps {
		if step.failure != "" {
			failureInjectors[step.failure](step, cluster, oracle)
		} else {
			oracle.submit(step, cluster, &callers)
		}
		time.Sleep(step.pause)
	}
	callers.Wait()
	cluster.stop()
	return append(oracle.check(cluster.record), cluster.limitViolations()...)
}

// TestMain sets a fixed seed unless one is given, so that every run checks the same sequences.
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
