// Command review-2 shows that a job is given up as failed because minions crash under it, though none of its tasks has
// failed.
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
	members = 4
	crashes = 4
	// worked is how long a gang has worked when a minion under it crashes, and downTime how long the minion is down.
	worked   = 1500 * time.Millisecond
	downTime = 500 * time.Millisecond
	job      = "a000000000000001"
)

func main() { stand.Main(run) }

func run() (int, error) {
	deployment, err := stand.New(os.Args[1], 12, 3, stand.Config([]any{stand.Route("block", 1)}, "a"))
	if err != nil {
		return stand.CannotRun, err
	}
	defer deployment.Close()
	work := standin.Work{TaskMS: 6000, Gang: members, GPUs: 8, CPU: 13000}
	status, _ := deployment.Call(0, http.MethodPost, "block", job, "a", map[string]any{
		"spec": work.Payload(), "steps": []any{map[string]any{
			"count": members, "cpu": 13000, "mem_mb": 16384, "gpu": 8, "estimate_ms": 6000, "gang": true,
		}},
	})
	if status != http.StatusOK {
		return stand.CannotRun, fmt.Errorf("the job was answered with %d", status)
	}
	for n := 0; stand.Trouble() && n < crashes; n++ {
		if !crashUnder(deployment, n) {
			break
		}
	}
	return judge(deployment), nil
}

// crashUnder crashes the worker of one member of the gang once all members have worked for a while. It returns false if
// they do not in 20 s. Each call names another member, so that no task meets two crashes.
func crashUnder(deployment *stand.Deployment, member int) bool {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		working := map[string]standin.Run{}
		for _, run := range deployment.JobRuns(job) {
			if !run.Over() && time.Since(run.Began) > worked {
				working[run.Task] = run
			}
		}
		if len(working) < members {
			continue
		}
		struck := working[fmt.Sprintf("%s.0.0.%d", job, member)]
		for _, worker := range deployment.Workers {
			if worker.ID == struck.Worker {
				deployment.CrashFor(worker, downTime)
				return true
			}
		}
	}
	return false
}

// judge waits until the job has ended. It may be shown as failed only if a task has failed three times.
func judge(deployment *stand.Deployment) int {
	state := ""
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		state = deployment.State(0, "block", job, "a")
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	failures := 0
	for _, run := range deployment.JobRuns(job) {
		if run.Outcome == "failed" {
			failures++
		}
	}
	fmt.Printf("the job is shown as %q; %d of its runs have ended as failed\n", state, failures)
	if state == "failed" && failures == 0 {
		deployment.Log("LOST: job %s is shown as failed, and no run of it has ended as failed", job)
		return stand.Broken
	}
	return stand.Held
}
