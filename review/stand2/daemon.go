package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// daemon is one process of the project, as the deploy file starts it.
type daemon struct {
	name, ip, zone              string
	frontend, readiness, folder string
	settings                    string
	command                     *exec.Cmd
	exited                      chan struct{}
}

var (
	commandOfRole  = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	templateOfRole = regexp.MustCompile(`(?m)^template = "([^"]+)"`)
	placeholder    = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// deployFile returns the command and the template of the settings that the deploy file names.
func deployFile(root string) (command []string, template string, err error) {
	content, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, "", err
	}
	run, named := commandOfRole.FindSubmatch(content), templateOfRole.FindSubmatch(content)
	if run == nil || named == nil {
		return nil, "", errors.New("the deploy file has no command or no template")
	}
	text, err := os.ReadFile(filepath.Join(root, string(named[1])))
	return strings.Fields(string(run[1])), string(text), err
}

// render fills the template in from the settings of a small deployment.
func render(template string, fields map[string]any) (string, error) {
	var missing error
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, ok := fields[parts[1]]
		if !ok {
			missing = fmt.Errorf("no value for %s", parts[1])
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return string(encoded)
	})
	return text, missing
}

// freePorts returns count ports that are free on an address.
func freePorts(ip string, count int) ([]int, error) {
	ports := make([]int, count)
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// loopback returns an address of the loopback range that is unlikely to be in use.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
}

func newDaemon(name, zone, folder, template, storeAddress string) (*daemon, error) {
	created := &daemon{name: name, zone: zone, ip: loopback(), folder: folder}
	ports, err := freePorts(created.ip, 5)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", created.ip, port) }
	created.frontend, created.readiness = address(ports[0]), address(ports[1])
	text, err := render(template, map[string]any{
		"node_name": name, "zone": zone, "ip": created.ip,
		"listen_addrs.frontend": created.frontend, "listen_addrs.readiness": created.readiness,
		"internal_ports.0": ports[2], "platform.address": storeAddress, "platform.value_bytes": 1048576,
		"cloud_api.address": address(ports[3]), "advice": address(ports[4]), "limits.memory_mb": 284,
		"limits.cpu_share": 0.4, "limits.cores": 1, "heartbeat_ms": 1500, "bounds.stable_window_ms": 3000,
		"bounds.max_hold_ms": 10000, "bounds.config_apply_ms": 2000, "bounds.max_stretch_ms": 5000,
		"bounds.status_s": 120,
	})
	if err != nil {
		return nil, err
	}
	created.settings = filepath.Join(folder, name+".json")
	return created, os.WriteFile(created.settings, []byte(text), 0o600)
}

func (daemon *daemon) start(root string, command []string) error {
	log, err := os.OpenFile(filepath.Join(daemon.folder, daemon.name+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	daemon.command = exec.Command(filepath.Join(root, command[0]), command[1:]...)
	daemon.command.Dir, daemon.command.Stdout, daemon.command.Stderr = root, log, log
	daemon.command.Env = append(os.Environ(), "QUETZALSTALL_CONFIG="+daemon.settings)
	if err := daemon.command.Start(); err != nil {
		log.Close()
		return err
	}
	daemon.exited = make(chan struct{})
	go func() {
		_ = daemon.command.Wait()
		log.Close()
		close(daemon.exited)
	}()
	return nil
}

// kill ends the process at once.
func (daemon *daemon) kill() {
	if daemon.command == nil || daemon.command.Process == nil {
		return
	}
	_ = daemon.command.Process.Kill()
	<-daemon.exited
}

const readyTime = 15 * time.Second

func (daemon *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + daemon.readiness + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready", daemon.name)
}
