package domain

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// faults maps the name of a fault to the function that switches the fault on or off. pick selects a variant of the
// fault, such as the worker or the duration.
var faults = map[string]func(cluster *cluster, on bool, pick int){
	"owner_dies": func(cluster *cluster, on bool, pick int) {
		if on && cluster.liveCount() > 1 {
			kinds := []string{"swap", "reserve", "start", "stop", "sync"}
			cluster.liveProcess().crashAfter(kinds[pick%len(kinds)], 1+pick%3)
		}
	},
	"owner_paused": func(cluster *cluster, on bool, pick int) {
		if on {
			cluster.liveProcess().pause(time.Duration(1+pick) * time.Second)
		}
	},
	"partition":     func(cluster *cluster, on bool, _ int) { cluster.setPartitioned(on) },
	"worker_hangs":  func(cluster *cluster, on bool, pick int) { cluster.pickWorker(pick).Hang(on) },
	"worker_fails":  func(cluster *cluster, on bool, pick int) { cluster.pickWorker(pick).FailEveryTask(on) },
	"store_down":    func(cluster *cluster, on bool, _ int) { cluster.store.setDown(on) },
	"answers_lost":  func(cluster *cluster, on bool, pick int) { cluster.store.loseResponses(pick % 7) },
	"all_restarted": func(cluster *cluster, on bool, _ int) { cluster.restartAll(on) },
	"worker_crashes": func(cluster *cluster, on bool, pick int) {
		if on {
			cluster.pickWorker(pick).Crash()
		} else {
			cluster.pickWorker(pick).Restart()
		}
	},
	"orders_refused": func(cluster *cluster, on bool, pick int) {
		cluster.pickOrderFault(on, pick, "unavailable_503")
	},
	"orders_no_lease": func(cluster *cluster, on bool, pick int) {
		cluster.pickOrderFault(on, pick, "refused_no_lease")
	},
	"orders_ignored": func(cluster *cluster, on bool, pick int) { cluster.pickOrderFault(on, pick, "confirmed_only") },
	"orders_late":    func(cluster *cluster, on bool, pick int) { cluster.pickOrderFault(on, pick, "late") },
}

// testedOrders are the orders that pickOrderFault picks from.
var testedOrders = []standin.Order{
	standin.OrderStop, standin.OrderStart, standin.OrderReserve, standin.OrderRelease, standin.OrderSync,
}

// pickOrderFault makes one worker handle one kind of order with a fault, or ends all such faults of the worker.
func (cluster *cluster) pickOrderFault(on bool, pick int, name string) {
	worker := cluster.pickWorker(pick / len(testedOrders))
	if on {
		worker.SetFault(testedOrders[pick%len(testedOrders)], standin.OrderFaults()[name])
		return
	}
	for _, order := range testedOrders {
		worker.SetFault(order, nil)
	}
}

func (cluster *cluster) pickWorker(pick int) *standin.Worker {
	return cluster.workers[cluster.fleet.Workers[pick%len(cluster.fleet.Workers)].ID]
}

func (cluster *cluster) liveCount() int {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	count := 0
	for _, process := range cluster.processes {
		if process.alive() {
			count++
		}
	}
	return count
}

// restartAll kills every process and starts two new ones if the fault is switched on. It does nothing if the fault is
// switched off.
func (cluster *cluster) restartAll(on bool) {
	if !on {
		return
	}
	cluster.mutex.Lock()
	previous := cluster.processes
	cluster.mutex.Unlock()
	for _, process := range previous {
		process.kill()
	}
	cluster.dropUnwrittenOutcomes()
	cluster.startProcess(fmt.Sprintf("r%d", len(previous)))
	cluster.startProcess(fmt.Sprintf("r%d", len(previous)+1))
}

// dropUnwrittenOutcomes removes the reported outcomes of jobs whose ends are not in the store. By section 2.2 of
// the design, these ends are lost with the last process.
func (cluster *cluster) dropUnwrittenOutcomes() {
	cluster.store.mutex.Lock()
	defer cluster.store.mutex.Unlock()
	for key := range cluster.reported {
		record, err := decodeRecord(cluster.store.entries[recordKey(key)].Value)
		if err != nil || record.State != StateEnded {
			delete(cluster.reported, key)
		}
	}
}

// scriptStep is one action of a random test script, with the delay that follows.
type scriptStep struct {
	// Kind is "submit" or "cancel" for a job, or "on" or "off" for a fault.
	Kind string
	// Fault is the index, 0 or 1, of the fault that the step switches, in the pair of faults of the script.
	Fault int
	// Pick selects the job to cancel, or a variant of the fault, such as the worker or the duration.
	Pick int
	Job  scriptJob
	// Wait is the delay after the step, in units of 250 ms.
	Wait int
}

// scriptJob is the profile and the input of a job that a test script submits.
type scriptJob struct {
	Profile string
	Input   standin.Input
}

func drawScript(draw *rapid.T, steps int) []scriptStep {
	script := make([]scriptStep, steps)
	for i := range script {
		script[i] = scriptStep{
			Kind:  rapid.SampledFrom([]string{"submit", "submit", "cancel", "on", "on", "off"}).Draw(draw, "kind"),
			Fault: rapid.IntRange(0, 1).Draw(draw, "failure"),
			Pick:  rapid.IntRange(0, 20).Draw(draw, "pick"),
			Wait:  rapid.IntRange(0, 40).Draw(draw, "wait"),
			Job: scriptJob{
				Profile: rapid.SampledFrom(
					[]string{idempotentProfile, nonIdempotentProfile, checkpointProfile}).Draw(draw, "profile"),
				Input: standin.Input{
					RunTimeMS: int64(rapid.IntRange(1, 30_000).Draw(draw, "run_time_ms")),
					Fails:     rapid.IntRange(0, 9).Draw(draw, "fails") == 0,
				},
			},
		}
	}
	return script
}

// oracleJob holds the result of a submission and whether the job was cancelled. The oracle derives the allowed outcomes
// of the job from them.
type oracleJob struct {
	job       scriptJob
	accepted  bool
	refusal   *fault.Error
	cancelled bool
}

// oracle holds the submitted jobs by id and determines which outcomes they may have.
type oracle struct {
	*cluster
	jobs map[string]*oracleJob
	ids  []string
}

// reporter collects errors instead of failing the test, so that a script can be shrunk.
type reporter struct {
	mutex sync.Mutex
	lines []string
}

func (reporter *reporter) Helper() {}

func (reporter *reporter) Errorf(format string, args ...any) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	reporter.lines = append(reporter.lines, fmt.Sprintf(format, args...))
}

func (oracle *oracle) apply(step scriptStep, pair [2]string) {
	switch step.Kind {
	case "submit":
		id := fmt.Sprintf("j%d", len(oracle.ids))
		err := oracle.submit(id, step.Job.Profile, step.Job.Input)
		submitted := &oracleJob{job: step.Job, accepted: err == nil}
		if err != nil {
			submitted.refusal = fault.FromError(err)
		}
		oracle.jobs[id] = submitted
		oracle.ids = append(oracle.ids, id)
	case "cancel":
		if len(oracle.ids) > 0 {
			id := oracle.ids[step.Pick%len(oracle.ids)]
			oracle.jobs[id].cancelled = true
			oracle.tryCancel(id)
		}
	default:
		if setFault, ok := faults[pair[step.Fault]]; ok {
			setFault(oracle.cluster, step.Kind == "on", step.Pick)
		}
	}
	time.Sleep(time.Duration(step.Wait) * 250 * time.Millisecond)
	for _, id := range oracle.ids {
		oracle.status(id)
	}
}

// clearFaults switches every fault off and waits long enough for every job to end.
func (oracle *oracle) clearFaults() {
	oracle.setPartitioned(false)
	oracle.store.setDown(false)
	oracle.store.loseResponses(0)
	for _, worker := range oracle.workers {
		worker.Hang(false)
		worker.FailEveryTask(false)
		worker.Restart()
	}
	for _, order := range testedOrders {
		oracle.setFault(order, nil)
	}
	time.Sleep(6 * time.Minute)
}

// checkOutcomes compares the outcome of each job with the allowed outcomes and checks the invariants of the cluster.
func (oracle *oracle) checkOutcomes() {
	ran := make(map[fleet.JobID]bool)
	failedOn := make(map[fleet.JobID]map[fleet.WorkerID]bool)
	for _, run := range oracle.record.Runs() {
		ran[run.Key.Job] = true
		if run.State == workerv1.TaskState_TASK_STATE_FAILED {
			if failedOn[run.Key.Job] == nil {
				failedOn[run.Key.Job] = make(map[fleet.WorkerID]bool)
			}
			failedOn[run.Key.Job][run.Worker] = true
		}
	}
	for _, id := range oracle.ids {
		submitted := oracle.jobs[id]
		outcome, reason := oracle.status(id)
		if !submitted.accepted && fault.AnswerFor(submitted.refusal.Kind).Effect == fault.EffectNotRun {
			if ran[fleet.JobID(id)] || outcome != callerv1.Outcome_OUTCOME_UNSPECIFIED {
				oracle.t.Errorf("job %s was refused as not run (%v) but ran, or has outcome %s",
					id, submitted.refusal, outcome)
			}
			continue
		}
		if !submitted.accepted && outcome == callerv1.Outcome_OUTCOME_UNSPECIFIED {
			continue
		}
		if !submitted.allows(outcome, len(failedOn[fleet.JobID(id)])) {
			oracle.t.Errorf("job %s %+v: outcome %s (%s) is not allowed", id, submitted.job, outcome, reason)
		}
	}
	oracle.checkInvariants()
	if _, pending := oracle.firstPending(); pending {
		oracle.t.Errorf("state of the owner: %+v", oracle.liveProcess().service.Dump())
	}
}

// firstPending returns a job that has not ended.
func (oracle *oracle) firstPending() (string, bool) {
	for _, id := range oracle.ids {
		if outcome, _ := oracle.status(id); outcome == callerv1.Outcome_OUTCOME_PENDING {
			return id, true
		}
	}
	return "", false
}

// allows reports whether a job may have an outcome once all faults are cleared. failedOn is the number of workers on
// which the job failed. An idempotent job fails after it has failed on three different workers.
func (submitted *oracleJob) allows(outcome callerv1.Outcome, failedOn int) bool {
	switch outcome {
	case callerv1.Outcome_OUTCOME_COMPLETED:
		return !submitted.job.Input.Fails
	case callerv1.Outcome_OUTCOME_CANCELLED:
		return submitted.cancelled
	case callerv1.Outcome_OUTCOME_FAILED:
		return failedOn >= 3 || failedOn > 0 && submitted.job.Profile != idempotentProfile
	case callerv1.Outcome_OUTCOME_UNKNOWN:
		return submitted.job.Profile != idempotentProfile
	default:
		return false
	}
}

// runScript runs a script with a pair of faults on a fake clock and returns the errors that were found.
func runScript(t *testing.T, pair [2]string, script []scriptStep) []string {
	report := new(reporter)
	synctest.Test(t, func(*testing.T) {
		oracle := &oracle{cluster: newCluster(report, 5, 2), jobs: make(map[string]*oracleJob)}
		time.Sleep(8 * time.Second)
		for _, step := range script {
			oracle.apply(step, pair)
		}
		oracle.clearFaults()
		oracle.checkOutcomes()
		oracle.close()
	})
	return report.lines
}

// scriptsPerPair is the number of scripts for each single fault and each pair of faults.
const scriptsPerPair = 4

// firstSeed is the seed of the first pair of faults. The seed of each further pair is higher by one.
const firstSeed = 20260731

// firstOrderSeed is the seed of the first pair with a fault of orders. The seed of each further pair is higher by one.
// With it, scriptsPerPair scripts are enough to show stops that count as done while the task runs on.
const firstOrderSeed = 30000

// processFaults and orderFaults are the names of the faults of processes, workers and the store, and of the faults with
// which workers handle orders.
var (
	processFaults = []string{
		"owner_dies", "owner_paused", "partition", "worker_hangs", "worker_crashes", "worker_fails",
		"store_down", "answers_lost", "all_restarted",
	}
	orderFaults = []string{"orders_refused", "orders_no_lease", "orders_ignored", "orders_late"}
)

// TestJobInvariantsUnderFaults guards against broken invariants and wrong outcomes of jobs under every single fault
// and every pair of faults. The runs that the stand-in workers recorded are the reference.
func TestJobInvariantsUnderFaults(t *testing.T) {
	seed := firstSeed
	for i, first := range processFaults {
		for _, second := range processFaults[i:] {
			checkPair(t, [2]string{first, second}, seed)
			seed++
		}
	}
}

// TestJobInvariantsUnderOrderFaults guards against broken invariants and wrong outcomes of jobs while workers refuse
// orders, confirm them without effect or handle them late, alone and together with every other fault.
func TestJobInvariantsUnderOrderFaults(t *testing.T) {
	seed := firstOrderSeed
	for i, first := range orderFaults {
		for _, second := range slices.Concat(orderFaults[i:], processFaults) {
			checkPair(t, [2]string{first, second}, seed)
			seed++
		}
	}
}

// checkPair runs scriptsPerPair random scripts with a pair of faults.
func checkPair(t *testing.T, pair [2]string, seed int) {
	setFlag(t, "rapid.checks", fmt.Sprint(scriptsPerPair))
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.shrinktime", "5s")
	setFlag(t, "rapid.seed", fmt.Sprint(seed))
	t.Run(pair[0]+"_and_"+pair[1], func(t *testing.T) {
		rapid.Check(t, func(draw *rapid.T) {
			script := drawScript(draw, 14)
			if violations := runScript(t, pair, script); len(violations) > 0 {
				draw.Fatalf("%s", strings.Join(violations, "\n"))
			}
		})
	})
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
