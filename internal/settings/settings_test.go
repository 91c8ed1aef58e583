package settings

import (
	"strings"
	"testing"
)

const validSettings = `{"vm_id":"entry-1","region":"nairobi","data_centre":"ngara","caller_address":"127.0.0.1:7001",
"peer_address":"127.0.0.1:7101","store_address":"127.0.0.1:7900","peers":["127.0.0.1:7102"]}`

// TestParseAppliesDefaults guards against the rejection of a file with only the required settings, and against omitted
// settings that do not get their defaults.
func TestParseAppliesDefaults(t *testing.T) {
	settings, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Seats != 7 || settings.StoreWrites != 50 {
		t.Errorf("defaults are missing: %+v", settings)
	}
}

// TestParseRefusals guards against an invalid setting that is accepted or that is reported without its path.
func TestParseRefusals(t *testing.T) {
	tests := []struct{ name, old, new, path string }{
		{"unknown field", `"vm_id"`, `"vmid"`, "vmid"},
		{"missing id", `"vm_id":"entry-1",`, ``, "vm_id"},
		{"host name", `127.0.0.1:7001`, `localhost:7001`, "caller_address"},
		{"bad peer", `127.0.0.1:7102`, `127.0.0.1`, "peers[0]"},
		{"same addresses", `127.0.0.1:7101`, `127.0.0.1:7001`, "peer_address"},
		{"lease too short", `"region"`, `"renew_interval":"10s","region"`, "task_lease"},
		{"incomplete tls", `"region"`, `"tls":{"key_file":"k"},"region"`, "tls"},
		{"seats out of range", `"region"`, `"seats":0,"region"`, "seats"},
		{"log level", `"region"`, `"log_level":"loud","region"`, "log_level"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.path+":") {
				t.Errorf("error %v does not name %s", err, test.path)
			}
		})
	}
}
