// Command review-1 shows that one large recurring job of a tenant ends the scheduling of all jobs.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/quetzalstall/quetzalstall/platform/standin"
	"github.com/quetzalstall/quetzalstall/review/stand"
)

const (
	// traffic is how long small jobs are handed in.
	traffic = 12 * time.Second
	// finish is finish_s, and idle the time for which a job that could run has nothing running.
	finish = 14 * time.Second
	idle   = 3 * time.Second
	// minutesOfMonth is the number of minutes in 31 days.
	minutesOfMonth = 31 * 24 * 60
)

func main() { stand.Main(run) }

func run() (int, error) {
	deployment, err := stand.New(os.Args[1], 6, 3, stand.Config([]any{
		stand.Route("desk", 1), stand.Route("checks", 1),
	}, "a", "b"))
	if err != nil {
		return stand.CannotRun, err
	}
	defer deployment.Close()
	began := time.Now()
	var accepted []string
	recurring := false
	for n := 0; time.Since(began) < traffic; n++ {
		id := fmt.Sprintf("a%015x", n)
		if status, _ := deployment.Call(n, http.MethodPost, "desk", id, "a", smallJob()); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		if !recurring && time.Since(began) > 4*time.Second {
			recurring = true
			handInRecurring(deployment)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return stand.CannotRun, fmt.Errorf("no job was accepted")
	}
	time.Sleep(finish)
	return judge(deployment, accepted), nil
}

func smallJob() any {
	work := standin.Work{TaskMS: 1000, GPUs: 1, CPU: 1000}
	return map[string]any{"spec": work.Payload(), "steps": []any{map[string]any{
		"count": 1, "cpu": 1000, "mem_mb": 1024, "gpu": 1, "estimate_ms": 1000,
	}}}
}

// handInRecurring hands in a job of tenant b that runs once a minute: for an hour, or with the trouble for a month.
func handInRecurring(deployment *stand.Deployment) {
	times := 60
	if stand.Trouble() {
		times = minutesOfMonth
	}
	work := standin.Work{TaskMS: 200, CPU: 500}
	status, _ := deployment.Call(0, http.MethodPost, "checks", "b000000000000001", "b", map[string]any{
		"spec": work.Payload(), "repeat_count": times, "first_run_ms": time.Now().UnixMilli() + 500,
		"interval_ms": 60000,
		"steps":       []any{map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}},
	})
	deployment.Log("recurring job with %d times handed in: %d", times, status)
}

// judge looks for accepted jobs that have not ended, and have nothing running for 3 s while less than half of the
// accelerators is in use.
func judge(deployment *stand.Deployment, accepted []string) int {
	idleSince := map[string]time.Time{}
	waiting := map[string]bool{}
	for n, id := range accepted {
		if state := deployment.State(n, "desk", id, "a"); state != "completed" && state != "failed" {
			waiting[id] = true
		}
	}
	broken := map[string]bool{}
	for began := time.Now(); time.Since(began) < idle+2*time.Second; time.Sleep(100 * time.Millisecond) {
		calm := deployment.GPUsInUse() < 8*len(deployment.Workers)/2
		for id := range waiting {
			if !calm || deployment.Running(id) > 0 || len(deployment.JobRuns(id)) > 0 {
				delete(idleSince, id)
				continue
			}
			if _, ok := idleSince[id]; !ok {
				idleSince[id] = time.Now()
			}
			if time.Since(idleSince[id]) > idle {
				broken[id] = true
			}
		}
	}
	for id := range broken {
		deployment.Log("LOST: job %s was accepted and nothing of it runs, with most accelerators free: %s", id,
			deployment.State(0, "desk", id, "a"))
	}
	fmt.Printf("%d jobs accepted, %d of them never started and have not ended\n", len(accepted), len(broken))
	if len(broken) > 0 {
		return stand.Broken
	}
	return stand.Held
}
