// Package settings reads and checks the settings file that an entry process loads at its start.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/strictjson"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// TLS holds the paths of the files for mutual TLS; either all of them are set or none.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	AuthorityFile   string `json:"authority_file"`
}

// Enabled reports whether mutual TLS is configured.
func (tls TLS) Enabled() bool { return tls.CertificateFile != "" }

// Settings holds the settings of one entry process. Parse checks the range of every number and duration.
type Settings struct {
	VM         fleet.VMID         `json:"vm_id"`
	Region     fleet.RegionID     `json:"region"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	// CallerAddress is the address to which callers and operators connect, as ip:port.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address to which other entry processes connect, as ip:port.
	PeerAddress string `json:"peer_address"`
	// StoreAddress is the address of the platform's key-value store and VM list, as ip:port.
	StoreAddress string `json:"store_address"`
	// Peers are the addresses of entry processes to contact before the VM list has been read.
	Peers []string `json:"peers"`
	// Seats is the number of seats. The slots and connections of the targets are divided among the seats, and each seat
	// is held by at most one entry process.
	Seats int `json:"seats"`
	// SyncInterval is the time between two Sync calls to a worker, which renew leases and return the changes on the
	// worker.
	SyncInterval profile.Duration `json:"sync_interval"`
	// TaskLease is the duration of a running task's lease; it is at least three times RenewInterval.
	TaskLease profile.Duration `json:"task_lease"`
	// RenewInterval is the time between two renewals of a task lease.
	RenewInterval profile.Duration `json:"renew_interval"`
	// BalancerDelay is the time for which a process that is being stopped still accepts new work after it has reported
	// that it is not ready, so that load balancers can react.
	BalancerDelay profile.Duration `json:"balancer_delay"`
	// StopLimit limits the duration of a planned stop of the process.
	StopLimit profile.Duration `json:"stop_limit"`
	// MaxConcurrentCalls limits the number of callers' calls that are served concurrently.
	MaxConcurrentCalls int `json:"max_concurrent_calls"`
	// StoreReads and StoreWrites are the reads and the writes of the store that the process may make per second. Only
	// their sum is enforced, as one limit for reads and writes together.
	StoreReads  int `json:"store_reads_per_s"`
	StoreWrites int `json:"store_writes_per_s"`
	// OperatorTokenHash is the hex SHA-256 hash of the operators' bearer token; empty disables the check.
	OperatorTokenHash string `json:"operator_token_sha256"`
	LogLevel          string `json:"log_level"`
	TLS               TLS    `json:"tls"`
}

// Default returns the default settings. Settings without a default have their zero values.
func Default() Settings {
	return Settings{
		Seats:              7,
		SyncInterval:       profile.Duration(time.Second),
		TaskLease:          profile.Duration(15 * time.Second),
		RenewInterval:      profile.Duration(5 * time.Second),
		BalancerDelay:      profile.Duration(2 * time.Second),
		StopLimit:          profile.Duration(60 * time.Second),
		MaxConcurrentCalls: 2000,
		StoreReads:         200,
		StoreWrites:        50,
		LogLevel:           "info",
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads settings from JSON and checks them. The error is a strictjson.Problems that lists all problems.
func Parse(data []byte) (Settings, error) {
	settings := Default()
	problems := strictjson.Decode(data, &settings)
	settings.check(&problems)
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func (settings Settings) check(problems *strictjson.Problems) {
	settings.checkNames(problems)
	settings.checkAddresses(problems)
	settings.checkTimes(problems)
	problems.CheckRange("seats", int64(settings.Seats), 1, 1000)
	problems.CheckRange("max_concurrent_calls", int64(settings.MaxConcurrentCalls), 1, 100_000)
	problems.CheckRange("store_reads_per_s", int64(settings.StoreReads), 1, 2000)
	problems.CheckRange("store_writes_per_s", int64(settings.StoreWrites), 1, 500)
	tls := settings.TLS
	if count := countSet(tls.CertificateFile, tls.KeyFile, tls.AuthorityFile); count != 0 && count != 3 {
		problems.Add("tls", "needs certificate_file, key_file and authority_file, or none of them")
	}
}

func (settings Settings) checkNames(problems *strictjson.Problems) {
	names := []struct{ path, name string }{
		{"vm_id", string(settings.VM)},
		{"region", string(settings.Region)},
		{"data_centre", string(settings.DataCentre)},
	}
	for _, entry := range names {
		profile.CheckName(problems, entry.path, entry.name)
	}
	switch settings.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		problems.Add("log_level", "%q is none of trace, debug, info, warn, error", settings.LogLevel)
	}
	if hash := settings.OperatorTokenHash; hash != "" &&
		(len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "") {
		problems.Add("operator_token_sha256", "needs 64 hexadecimal digits in lower case")
	}
}

func (settings Settings) checkAddresses(problems *strictjson.Problems) {
	checkAddress(problems, "caller_address", settings.CallerAddress)
	checkAddress(problems, "peer_address", settings.PeerAddress)
	checkAddress(problems, "store_address", settings.StoreAddress)
	for i, address := range settings.Peers {
		checkAddress(problems, fmt.Sprintf("peers[%d]", i), address)
	}
	if settings.CallerAddress != "" && settings.CallerAddress == settings.PeerAddress {
		problems.Add("peer_address", "is the same as caller_address")
	}
}

func (settings Settings) checkTimes(problems *strictjson.Problems) {
	times := []struct {
		path             string
		value            profile.Duration
		minimum, maximum time.Duration
	}{
		{"sync_interval", settings.SyncInterval, 100 * time.Millisecond, time.Minute},
		{"task_lease", settings.TaskLease, 3 * time.Second, 10 * time.Minute},
		{"renew_interval", settings.RenewInterval, 100 * time.Millisecond, 3 * time.Minute},
		{"balancer_delay", settings.BalancerDelay, 0, time.Minute},
		{"stop_limit", settings.StopLimit, time.Second, 30 * time.Minute},
	}
	for _, entry := range times {
		problems.CheckDuration(entry.path, time.Duration(entry.value), entry.minimum, entry.maximum)
	}
	if settings.TaskLease < 3*settings.RenewInterval {
		problems.Add("task_lease", "%v is less than three times renew_interval (%v)",
			time.Duration(settings.TaskLease), time.Duration(settings.RenewInterval))
	}
	if settings.StopLimit <= settings.BalancerDelay {
		problems.Add("stop_limit", "must exceed balancer_delay")
	}
}

func checkAddress(problems *strictjson.Problems, path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		problems.Add(path, "needs an IP address and a port, such as 10.0.0.1:7001; got %q", address)
	}
}

func countSet(values ...string) int {
	count := 0
	for _, value := range values {
		if value != "" {
			count++
		}
	}
	return count
}
