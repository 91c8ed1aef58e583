// Package stand starts a small deployment for the cases of the review: daemons as processes of their own, and the
// project's stand-in of the platform on loopback addresses. It writes what was sent, answered and run to a record.
package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalstall/quetzalstall/platform/standin"
)

// The exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Deployment is a store, workers and daemons.
type Deployment struct {
	Site    *standin.Site
	Workers []*standin.Worker
	Daemons []*Daemon

	folder string
	record *os.File
	began  time.Time

	mu sync.Mutex
	// addresses has the loopback address of each part of the stand-in, by the name that the stand-in gives it.
	addresses map[string]string
	// listeners has the listener of each part of the stand-in, by the same name.
	listeners map[string]*listener
	afterTxn  func(daemon string, keys []string)
}

// OnTxn sets a function that is called with the name of a daemon and the keys that its transaction has written, before
// the store answers.
func (deployment *Deployment) OnTxn(call func(daemon string, keys []string)) {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.afterTxn = call
}

// listener is a listener whose connections can be closed together, as when its process crashes.
type listener struct {
	net.Listener

	mu          sync.Mutex
	down        bool
	connections []net.Conn
}

// Accept returns the next connection. While the listener is down, connections are closed at once.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		connection, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		listener.mu.Lock()
		down := listener.down
		if !down {
			listener.connections = append(listener.connections, connection)
		}
		listener.mu.Unlock()
		if !down {
			return connection, nil
		}
		_ = connection.Close()
	}
}

func (listener *listener) setDown(down bool) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.down = down
	for _, connection := range listener.connections {
		_ = connection.Close()
	}
	listener.connections = nil
}

// CrashFor crashes a worker and starts it again after a time, under the same id and at the same address.
func (deployment *Deployment) CrashFor(worker *standin.Worker, downTime time.Duration) {
	deployment.mu.Lock()
	port := deployment.listeners[worker.Address]
	deployment.mu.Unlock()
	deployment.Log("%s crashes", worker.ID)
	deployment.Site.Crash(worker)
	port.setDown(true)
	time.Sleep(downTime)
	deployment.Site.Restart(worker)
	port.setDown(false)
	deployment.Log("%s has started again", worker.ID)
}

// Daemon is one process of the system.
type Daemon struct {
	Name     string
	callers  string
	ready    string
	settings string
	output   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// start starts a process of the daemon, as the deploy file says.
func (daemon *Daemon) start() error {
	process := exec.Command("target/quetzalstalld")
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUETZALSTALL_CONFIG=" + daemon.settings,
	}
	process.Stdout, process.Stderr = daemon.output, daemon.output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	daemon.mu.Lock()
	daemon.process, daemon.exited = process, exited
	daemon.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (daemon *Daemon) Signal(signal syscall.Signal) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	_ = daemon.process.Process.Signal(signal)
}

// kill kills the process and waits until it has ended.
func (daemon *Daemon) kill() {
	daemon.mu.Lock()
	process, exited := daemon.process, daemon.exited
	daemon.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-exited
	}
}

// New starts a store and workers with 8 accelerators each, six a rack, writes the configuration and starts the daemons.
// The record is written to recordPath.
func New(recordPath string, workers, daemons int, config map[string]any) (*Deployment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	created := &Deployment{
		Site: standin.NewSite(), folder: folder, record: record, began: time.Now(),
		addresses: map[string]string{}, listeners: map[string]*listener{},
	}
	created.Site.Listen = created.listen
	created.Site.Advertise = created.address
	created.Site.Store.Put("op/config", config)
	created.Workers = created.Site.AddWorkers("s", workers, 6)
	for n := range daemons {
		if err := created.addDaemon(n); err != nil {
			created.Close()
			return nil, err
		}
	}
	return created, created.awaitReady()
}

// Config returns a configuration with the given routes, each a queue of service s, and one key for each tenant.
func Config(routes []any, tenants ...string) map[string]any {
	var entries []any
	for _, name := range tenants {
		entries = append(entries, map[string]any{
			"name": name, "api_keys": []string{"key-" + name}, "guaranteed": map[string]int{"gpu": 8},
		})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": []any{map[string]any{"name": "s"}},
		"limits": map[string]any{"max_body_bytes": 262144}, "tenants": entries,
	}
}

// Route returns the route of a queue. Its host is the name with .example, its prefix the name between slashes.
func Route(name string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": name + ".example", "prefix": "/" + name + "/", "kind": "non_idempotent",
		"timeout_ms": 3000, "target_duration_ms": 1000, "priority": priority, "service": "s", "max_attempts": 3,
		"stretch": 3.0,
	}
}

func (deployment *Deployment) listen(name string) net.Listener {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	tracked := &listener{Listener: opened}
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.addresses[name], deployment.listeners[name] = opened.Addr().String(), tracked
	return tracked
}

func (deployment *Deployment) address(name string) string {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.addresses[name]
}

// daemonAddresses returns addresses with free ports on a loopback address that no other daemon uses. The ports are below
// those that the system assigns by itself, so that none is taken before the daemon listens.
func daemonAddresses(number, count int) ([]string, error) {
	const firstPort, lastPort = 10000, 30000
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, 1+number)
	var addresses []string
	for port := firstPort; port < lastPort && len(addresses) < count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	if len(addresses) < count {
		return nil, fmt.Errorf("no free ports on %s", ip)
	}
	return addresses, nil
}

// addDaemon starts a daemon as the deploy file says, with a settings file as its template renders it.
func (deployment *Deployment) addDaemon(number int) error {
	name := fmt.Sprintf("edge-%d", number)
	store := http.Server{Handler: deployment.handleTxns(name, deployment.Site.Store.Handler(name))}
	listener := deployment.listen("store of " + name)
	go func() { _ = store.Serve(listener) }()
	free, err := daemonAddresses(number, 4)
	if err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"name": name, "data_centre": "z", "callers_address": free[0], "readiness_address": free[1],
		"metrics_address": free[2], "peer_address": free[3], "store_address": listener.Addr().String(),
		"machines_address": "", "advice_address": "", "memory_mib": 284, "processor_share": 0.4,
		"processor_cores": 1, "worker_report_ms": 1500, "capacity_grace_ms": 3000, "longest_lease_ms": 10000,
		"config_apply_ms": 2000, "config_stretch_ms": 5000, "shutdown_ms": 4000, "retention_s": 120,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(deployment.folder, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(deployment.folder, name+".log"))
	if err != nil {
		return err
	}
	created := &Daemon{Name: name, callers: free[0], ready: free[1], settings: path, output: output}
	deployment.Daemons = append(deployment.Daemons, created)
	return created.start()
}

// maxValue is value_bytes of the settings.
const maxValue = 1 << 20

// handleTxns makes the store of a daemon refuse transactions with a value above its limit, and calls the function of OnTxn.
func (deployment *Deployment) handleTxns(daemon string, store http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
		if call.URL.Path != "/kv-txn" {
			store.ServeHTTP(writer, call)
			return
		}
		body, err := io.ReadAll(call.Body)
		var txn struct {
			Writes []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"writes"`
		}
		if err != nil || json.Unmarshal(body, &txn) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		var keys []string
		for _, write := range txn.Writes {
			if len(write.Value) > maxValue {
				writer.WriteHeader(http.StatusBadRequest)
				return
			}
			keys = append(keys, write.Key)
		}
		call.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, call)
		deployment.mu.Lock()
		afterTxn := deployment.afterTxn
		deployment.mu.Unlock()
		if afterTxn != nil && answer.Code == http.StatusOK {
			afterTxn(daemon, keys)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(answer.Code)
		_, _ = writer.Write(answer.Body.Bytes())
	})
}

func (deployment *Deployment) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for _, daemon := range deployment.Daemons {
		for {
			response, err := client.Get("http://" + daemon.ready + "/ready")
			if err == nil {
				response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", daemon.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// Traffic starts 10 s after the machines do; here the workers have to be in touch with the controller.
	time.Sleep(3 * time.Second)
	return nil
}

// Log writes a line to the record.
func (deployment *Deployment) Log(format string, args ...any) {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	_, _ = fmt.Fprintf(deployment.record, "%8.3f s  %s\n", time.Since(deployment.began).Seconds(),
		fmt.Sprintf(format, args...))
}

// Call sends one request of a client to a daemon and records it with its answer. Status 0 means that there was none.
func (deployment *Deployment) Call(daemon int, method, queue, id, tenant string, body any) (int, string) {
	to := deployment.Daemons[daemon%len(deployment.Daemons)]
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+to.callers+"/"+queue+"/"+id, content)
	if err != nil {
		panic(err)
	}
	request.Host = queue + ".example"
	request.Header.Set("Authorization", "Token key-"+tenant)
	request.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		deployment.Log("%s /%s/%s to %s: no answer: %v", method, queue, id, to.Name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	deployment.Log("%s /%s/%s to %s: %d %s", method, queue, id, to.Name, response.StatusCode, answer)
	return response.StatusCode, string(answer)
}

// State returns the state of a job that a daemon gives, or "" if it gives none.
func (deployment *Deployment) State(daemon int, queue, id, tenant string) string {
	status, answer := deployment.Call(daemon, http.MethodGet, queue, id, tenant, nil)
	var shown struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return ""
	}
	return shown.State
}

// JobRuns returns the runs of the tasks of a job.
func (deployment *Deployment) JobRuns(id string) []standin.Run {
	var runs []standin.Run
	for _, run := range deployment.Site.Runs() {
		if strings.HasPrefix(run.Task, id+".") {
			runs = append(runs, run)
		}
	}
	return runs
}

// Running returns the number of runs of a job that have begun and not ended.
func (deployment *Deployment) Running(id string) int {
	count := 0
	for _, run := range deployment.JobRuns(id) {
		if !run.Over() {
			count++
		}
	}
	return count
}

// GPUsInUse returns the accelerators that runs occupy.
func (deployment *Deployment) GPUsInUse() int {
	used := 0
	for _, run := range deployment.Site.Runs() {
		if !run.Over() {
			used += run.Work.GPUs
		}
	}
	return used
}

// Close ends the daemons, records all runs, and removes the temporary folder unless KEEP names it to be kept.
func (deployment *Deployment) Close() {
	for _, daemon := range deployment.Daemons {
		daemon.kill()
		_ = daemon.output.Close()
	}
	deployment.Log("runs, in the order of their starts:")
	for _, run := range deployment.Site.Runs() {
		deployment.Log("%s", run.String())
	}
	deployment.Site.Close()
	_ = deployment.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}

// Main runs a case and exits with its code.
func Main(run func() (int, error)) {
	code, err := run()
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(CannotRun)
	}
	if code == Broken {
		fmt.Println("the rule is broken")
	} else {
		fmt.Println("the rule holds")
	}
	os.Exit(code)
}
