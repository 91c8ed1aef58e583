// Command review-4 shows that a job runs although the only attempt to hand it in was refused: a process that forwards
// the request forgets that the first other process may have stored the job.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quetzalstall/quetzalstall/platform/standin"
	"github.com/quetzalstall/quetzalstall/review/stand"
)

const (
	firstJob  = "b000000000000001"
	secondJob = "b000000000000002"
	// frozen is how long the process stands still.
	frozen = 4 * time.Second
)

func main() { stand.Main(run) }

func config(version int, tenants ...string) map[string]any {
	config := stand.Config([]any{stand.Route("desk", 1)}, tenants...)
	config["version"] = version
	return config
}

func run() (int, error) {
	deployment, err := stand.New(os.Args[1], 6, 7, config(1, "a", "b"))
	if err != nil {
		return stand.CannotRun, err
	}
	defer deployment.Close()
	cut := deployment.Daemons[0].Name
	var server atomic.Value
	deployment.OnTxn(func(daemon string, keys []string) {
		if slices.Contains(keys, "quetzalstall/job/"+firstJob) {
			server.Store(daemon)
		}
		if slices.Contains(keys, "quetzalstall/job/"+secondJob) && stand.Trouble() {
			freeze(deployment, daemon)
			deployment.Log("the operator takes the key of tenant b away")
			deployment.Site.Store.Put("op/config", config(2, "a"))
		}
	})
	if stand.Trouble() {
		deployment.Log("the store turns %s away", cut)
		deployment.Site.Store.SetFaults(func(vm string, _ *http.Request) standin.Fault {
			if vm == cut {
				return standin.Refuse
			}
			return standin.NoFault
		})
		time.Sleep(3 * time.Second)
	}
	if status, _ := deployment.Call(0, http.MethodPost, "desk", firstJob, "b", job()); status != http.StatusOK {
		return stand.CannotRun, fmt.Errorf("the first job was answered with %d", status)
	}
	deployment.Log("%s has stored the first job", server.Load())
	status, _ := deployment.Call(0, http.MethodPost, "desk", secondJob, "b", job())
	deployment.Site.Store.SetFaults(nil)
	deployment.Log("the store serves all machines")
	time.Sleep(8 * time.Second)
	runs := deployment.JobRuns(secondJob)
	fmt.Printf("the second job was answered with %d and has been started %d times\n", status, len(runs))
	refused := status >= 400 && status < 500 || status == http.StatusServiceUnavailable
	if refused && len(runs) > 0 {
		deployment.Log("REFUSED: job %s was refused with %d and has run", secondJob, status)
		return stand.Broken, nil
	}
	return stand.Held, nil
}

func job() any {
	work := standin.Work{TaskMS: 1000, GPUs: 1, CPU: 1000}
	return map[string]any{"spec": work.Payload(), "steps": []any{map[string]any{
		"count": 1, "cpu": 1000, "mem_mb": 1024, "gpu": 1, "estimate_ms": 1000,
	}}}
}

// freeze stops the process of a daemon and continues it later.
func freeze(deployment *stand.Deployment, name string) {
	for _, daemon := range deployment.Daemons {
		if daemon.Name == name {
			deployment.Log("%s freezes", name)
			daemon.Signal(syscall.SIGSTOP)
			time.AfterFunc(frozen, func() {
				daemon.Signal(syscall.SIGCONT)
				deployment.Log("%s wakes", name)
			})
		}
	}
}
