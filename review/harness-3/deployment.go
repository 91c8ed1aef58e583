package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalstall/quetzalstall/platform"
	"github.com/quetzalstall/quetzalstall/platform/standin"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (record *record) print(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f "+format+"\n", append([]any{time.Since(record.began).Seconds()}, args...)...)
}

const (
	urgentHost, urgentPrefix = "urgent.example", "/u/"
	plainHost, plainPrefix   = "plain.example", "/p/"
	batchHost, batchPrefix   = "batch.example", "/b/"
	key                      = "key-of-a"
	// deadline is how long clients wait for an answer.
	deadline = 3 * time.Second
)

// freeAddress is a loopback address that hardly any other program uses, with a port that the system chooses. Part 0 is the
// platform's, and each daemon has a part of its own, so that nobody takes its ports before it listens there.
func freeAddress(part int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, 1+pid/250%250, 1+part)
}

// deployment is a few daemons with the stand-in of the platform.
type deployment struct {
	store   *standin.Store
	fleet   *fleet
	record  *record
	folder  string
	daemons []*daemon
	client  *http.Client
	jobs    int

	mu sync.Mutex
	// late is the key of which the store carries out writes lateBy after their arrival, without an answer, or empty.
	late   string
	lateBy time.Duration
	// writes and lateCount count the transactions that have arrived, and those of them that are carried out late.
	writes, lateCount int
}

// daemon is one process of the project.
type daemon struct {
	name     string
	settings platform.Settings
	process  *exec.Cmd
	exited   chan struct{}
}

// deploy starts the platform and the daemons, and waits until they are ready.
func deploy(record *record, daemons, workers, perRack int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	created := &deployment{
		store: standin.NewStore(), record: record, folder: folder,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	created.configure()
	if created.fleet, err = newFleet(created.store, record, workers, perRack); err != nil {
		return nil, err
	}
	for n := range daemons {
		if err := created.addDaemon(fmt.Sprintf("vm%d", n)); err != nil {
			return created, err
		}
	}
	return created, created.awaitReady(15 * time.Second)
}

// lateWrites returns a handler of the store that carries out the writes of the late key late.
func (deployed *deployment) lateWrites(store http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
		if call.URL.Path != "/kv-txn" {
			store.ServeHTTP(writer, call)
			return
		}
		body, err := io.ReadAll(call.Body)
		if err != nil {
			return
		}
		copied := call.Clone(context.WithoutCancel(call.Context()))
		copied.Body = io.NopCloser(bytes.NewReader(body))
		deployed.mu.Lock()
		deployed.writes++
		late := deployed.late != "" && bytes.Contains(body, []byte(strconv.Quote(deployed.late)))
		if late {
			deployed.lateCount++
		}
		delay := deployed.lateBy
		deployed.mu.Unlock()
		if !late {
			store.ServeHTTP(writer, copied)
			return
		}
		time.AfterFunc(delay, func() {
			answer := httptest.NewRecorder()
			store.ServeHTTP(answer, copied)
			deployed.record.print("the store carries out a late write: %d", answer.Code)
		})
		<-call.Context().Done()
	})
}

// beginLate makes the store carry out the writes of a key late from now on.
func (deployed *deployment) beginLate(key string, by time.Duration) {
	deployed.mu.Lock()
	defer deployed.mu.Unlock()
	deployed.late, deployed.lateBy = key, by
	deployed.writes, deployed.lateCount = 0, 0
}

// endLate ends beginLate and returns the share of the writes since then that were late.
func (deployed *deployment) endLate() float64 {
	deployed.mu.Lock()
	defer deployed.mu.Unlock()
	deployed.late = ""
	deployed.record.print("%d of %d writes were late", deployed.lateCount, deployed.writes)
	return float64(deployed.lateCount) / float64(max(1, deployed.writes))
}

// configure writes the configuration as an operator does.
func (deployed *deployment) configure() {
	route := func(name, host, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": priority, "service": "s", "max_attempts": 2, "stretch": 3.0,
		}
	}
	deployed.store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []any{
			route("urgent", urgentHost, urgentPrefix, 0), route("plain", plainHost, plainPrefix, 1),
			route("batch", batchHost, batchPrefix, 2),
		},
		"services": []any{map[string]any{"name": "s", "admission_control": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []any{map[string]any{"name": "a", "api_keys": []string{key}, "guaranteed": map[string]int{"gpu": 24}}},
	})
}

// addDaemon starts a daemon with addresses of its own.
func (deployed *deployment) addDaemon(name string) error {
	store, err := net.Listen("tcp", freeAddress(0))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: deployed.lateWrites(deployed.store.Handler(name)), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(store) }()
	addresses := make([]string, 4)
	for i := range addresses {
		listener, err := net.Listen("tcp", freeAddress(1+len(deployed.daemons)))
		if err != nil {
			return err
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	created := &daemon{name: name, settings: platform.Settings{
		Name: name, DataCentre: "z", CallersAddress: addresses[0], ReadinessAddress: addresses[1],
		MetricsAddress: addresses[2], PeerAddress: addresses[3], StoreAddress: store.Addr().String(),
		MemoryMiB: 284, ProcessorShare: 0.4, ProcessorCores: 1, WorkerReportMS: 1500, CapacityGraceMS: 3000,
		LongestLeaseMS: 10000, ConfigApplyMS: 2000, ConfigStretchMS: 5000, ShutdownMS: 4000, RetentionS: 120,
		StoreValueBytes: 1 << 20, Interference: true,
	}}
	encoded, err := json.Marshal(created.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(deployed.settingsOf(name), encoded, 0o600); err != nil {
		return err
	}
	deployed.daemons = append(deployed.daemons, created)
	return nil
}

func (deployed *deployment) settingsOf(name string) string {
	return filepath.Join(deployed.folder, name+".json")
}

// start starts the process of a daemon with the command of the deploy file.
func (deployed *deployment) start(daemon *daemon) error {
	log, err := os.OpenFile(filepath.Join(deployed.folder, daemon.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/quetzalstalld")
	process.Env = append(os.Environ(), "QUETZALSTALL_CONFIG="+deployed.settingsOf(daemon.name))
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	daemon.process, daemon.exited = process, exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (deployed *deployment) awaitReady(within time.Duration) error {
	for _, daemon := range deployed.daemons {
		if err := deployed.start(daemon); err != nil {
			return err
		}
	}
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, daemon := range deployed.daemons {
			response, err := deployed.client.Get("http://" + daemon.settings.ReadinessAddress + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(deployed.daemons) && deployed.leader() != nil {
			deployed.record.print("%d daemons are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the daemons are not ready within %s", within)
}

// leader returns the daemon that gives the orders to workers, as the store shows it, or nil.
func (deployed *deployment) leader() *daemon {
	item, ok := deployed.store.Get("quetzalstall/live/term")
	if !ok {
		return nil
	}
	for _, daemon := range deployed.daemons {
		if daemon.name == string(item.Value) {
			return daemon
		}
	}
	return nil
}

// kill sends SIGKILL to a daemon that this program has started, and waits for its end.
func (deployed *deployment) kill(daemon *daemon) {
	deployed.record.print("SIGKILL to %s", daemon.name)
	_ = daemon.process.Process.Kill()
	<-daemon.exited
}

// close ends all processes.
func (deployed *deployment) close() {
	for _, daemon := range deployed.daemons {
		if daemon.process != nil {
			_ = daemon.process.Process.Kill()
			<-daemon.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployed.folder)
	} else {
		fmt.Println(deployed.folder)
	}
}

// step is a step of a job as clients write it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Memory       int    `json:"mem_mb,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	Estimate     int64  `json:"estimate_ms,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	Label        string `json:"required_label,omitempty"`
}

// jobBody returns a job with one step whose tasks all do the same.
func jobBody(step step, work work) []byte {
	work.GPUs = step.GPU
	if step.Gang {
		work.Gang = step.Count
	}
	encoded, err := json.Marshal(map[string]any{"spec": work.payload(), "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return encoded
}

// scheduledJobBody returns a job that runs count times, from first on and then at an interval.
func scheduledJobBody(steps []step, first time.Time, interval time.Duration, count int) []byte {
	encoded, err := json.Marshal(map[string]any{
		"spec": work{}.payload(), "steps": steps, "repeat_count": count, "first_run_ms": first.UnixMilli(),
		"interval_ms": interval.Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	return encoded
}

const (
	// memoryLimit is the memory in KiB above which the platform ends a process, and memoryInterval how often it looks.
	memoryLimit    = 284 << 10
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
)

// endOverMemory ends daemons that take more memory than they may, and starts them again, as the platform does. It returns a
// function that stops this and tells how many were ended.
func (deployed *deployment) endOverMemory() func() int {
	stop, done, ends := make(chan struct{}), make(chan struct{}), 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			for _, daemon := range deployed.daemons {
				size := residentKiB(daemon.process.Process.Pid)
				if size <= memoryLimit {
					continue
				}
				ends++
				deployed.record.print("%s takes %d KiB", daemon.name, size)
				deployed.kill(daemon)
				time.Sleep(restartDelay)
				if err := deployed.start(daemon); err != nil {
					deployed.record.print("%s did not start: %v", daemon.name, err)
				}
			}
		}
	}()
	return func() int {
		close(stop)
		<-done
		return ends
	}
}

// residentKiB returns the resident memory of a process that this program has started.
func residentKiB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			size, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return size
		}
	}
	return 0
}

// call sends a request to a daemon. The status is 0 if there is no whole answer.
func (deployed *deployment) call(daemon *daemon, method, host, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	address := "http://" + daemon.settings.CallersAddress + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := deployed.client.Do(request)
	if err != nil {
		deployed.record.print("%s %s%s at %s: no answer (%v)", method, host, path, daemon.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		deployed.record.print("%s %s%s at %s: no whole answer", method, host, path, daemon.name)
		return 0, ""
	}
	deployed.record.print("%s %s%s at %s: %d %s", method, host, path, daemon.name, response.StatusCode, content)
	return response.StatusCode, string(content)
}

// newID returns the id of the next job.
func (deployed *deployment) newID() string {
	deployed.jobs++
	return fmt.Sprintf("%016x", 0xabc000+deployed.jobs)
}

// submit hands a job in at a daemon until it is accepted, and returns its id.
func (deployed *deployment) submit(daemon *daemon, host, prefix string, body []byte) (string, error) {
	id := deployed.newID()
	for range 4 {
		if status, _ := deployed.call(daemon, http.MethodPost, host, prefix+id, body); status/100 == 2 {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job.
func (deployed *deployment) state(daemon *daemon, host, prefix, id string) string {
	status, content := deployed.call(daemon, http.MethodGet, host, prefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(content), &answer) != nil {
		return ""
	}
	return answer.State
}
