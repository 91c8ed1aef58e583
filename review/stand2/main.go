// Command stand2 plays the cases of the second review: it starts the project's daemons as processes, stands in for the
// platform's store, the minions and the clients, and checks one rule a case. It exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// deployment is a small deployment of the users: daemons, a store and minions of one service.
type deployment struct {
	root    string
	command []string
	record  *record
	store   *store
	daemons []*daemon
	minions []*minion
	client  *client
	// trouble is false if the case is played without its disruption.
	trouble bool
}

var cases = map[string]func(*deployment) error{
	"6":  playFlappingMinion,
	"7":  playSuspects,
	"8":  playCrashes,
	"9":  playLostMinion,
	"10": playLargeJob,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 ROOT CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.file.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	played := &deployment{root: os.Args[1], record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer played.stop()
	played.stopOnSignal()
	err = played.start(folder)
	if err == nil {
		err = cases[os.Args[2]](played)
	}
	if err != nil {
		record.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if record.wasBroken() {
		fmt.Println("the rule was broken:", record.failure)
		return exitBroken
	}
	record.write("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

const (
	daemonCount = 3
	minionCount = 8
	perRack     = 6
	maxAttempts = 3
	service     = "huvo11a"
	tenantKey   = "d4a3hwrr6x73d3zji9n7"
)

var (
	zones = []string{"ngara", "gikomba", "kariakor"}
	// steady and second are queues of priority 1, and urgent is one of priority 0.
	steady = queue{name: "r-7ejsmzz", prefix: "/lohu930/"}
	second = queue{name: "r-jwyy7yx", prefix: "/pule252/"}
	urgent = queue{name: "r-yyjsg3a", prefix: "/pufi791/"}
)

func configuration() map[string]any {
	route := func(queue queue, priority int) map[string]any {
		return map[string]any{
			"name": queue.name, "host": host, "prefix": queue.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": priority, "service": service, "max_attempts": maxAttempts, "stretch": 3.0,
			"public": false,
		}
	}
	return map[string]any{
		"version": 7, "routes": []any{route(steady, 1), route(second, 1), route(urgent, 0)},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"admission_control": false, "standby": false,
		}},
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": "kaje80", "api_keys": []string{tenantKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 32},
		}},
	}
}

// start starts the store, the minions and the daemons, and waits until the daemons are ready.
func (deployment *deployment) start(folder string) error {
	command, template, err := deployFile(deployment.root)
	if err != nil {
		return err
	}
	deployment.command = command
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	deployment.store = newStore()
	go func() { _ = http.Serve(listener, deployment.store.handler()) }()
	deployment.store.put("op/config", configuration())
	deployment.client = newClient(tenantKey, deployment.record)
	for n := range minionCount {
		created := newMinion(fmt.Sprintf("i-%08x", 0x5a7dbe90+n), "127.0.0.1:0", service, zones[n%len(zones)],
			[]string{"a", fmt.Sprintf("r1-%d", n/perRack)}, deployment.store, deployment.record)
		if err := created.start(); err != nil {
			return err
		}
		deployment.minions = append(deployment.minions, created)
		go created.run()
	}
	for n := range daemonCount {
		created, err := newDaemon(fmt.Sprintf("edge-%s-1", zones[n]), zones[n], folder, template,
			listener.Addr().String())
		if err != nil {
			return err
		}
		if err := created.start(deployment.root, command); err != nil {
			return err
		}
		deployment.daemons = append(deployment.daemons, created)
	}
	for _, daemon := range deployment.daemons {
		if err := daemon.awaitReady(); err != nil {
			return err
		}
	}
	// Traffic starts some time after the machines do.
	time.Sleep(3 * time.Second)
	deployment.record.write("daemons are ready")
	return nil
}

// stopOnSignal ends all processes that the case has started, and the case, if the case is told to end early.
func (deployment *deployment) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		deployment.stop()
		os.Exit(exitNotRun)
	}()
}

// stop ends all processes that the case has started.
func (deployment *deployment) stop() {
	for _, daemon := range deployment.daemons {
		daemon.kill()
	}
	for _, minion := range deployment.minions {
		close(minion.stopped)
	}
}

// minionNamed returns the minion with an id, or nil.
func (deployment *deployment) minionNamed(id string) *minion {
	for _, minion := range deployment.minions {
		if minion.id == id {
			return minion
		}
	}
	return nil
}

// await calls condition until it is true or the time is over, and reports whether it was true.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
