package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// fieldPaths returns the paths of all JSON fields of a struct type. The fields of a Shape are not listed.
func fieldPaths(prefix string, structure reflect.Type) []string {
	var paths []string
	for i := range structure.NumField() {
		field := structure.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		path := prefix + name
		paths = append(paths, path)
		inner := field.Type
		for inner.Kind() == reflect.Slice || inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && inner.Name() != "Shape" {
			paths = append(paths, fieldPaths(path+".", inner)...)
		}
	}
	return paths
}

var documentedField = regexp.MustCompile("(?m)^\\| `([a-z0-9_.]+)` \\|")

// TestReferenceMatchesTheCode guards against a settings reference that lacks a field or lists one that no longer
// exists.
func TestReferenceMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	settingsPart, documentPart, found := strings.Cut(string(page), "## An organisation's document")
	if !found {
		t.Fatal("the page has no section on organisations' documents")
	}
	tests := []struct {
		text string
		want []string
	}{
		{settingsPart, fieldPaths("", reflect.TypeFor[Settings]())},
		{documentPart, fieldPaths("", reflect.TypeFor[profile.Organisation]())},
	}
	for _, test := range tests {
		var documented []string
		for _, match := range documentedField.FindAllStringSubmatch(test.text, -1) {
			documented = append(documented, match[1])
		}
		slices.Sort(documented)
		slices.Sort(test.want)
		if !slices.Equal(documented, test.want) {
			t.Errorf("the page lists the fields\n%v\nthe code has\n%v", documented, test.want)
		}
	}
}

// TestReferenceDefaults guards against a documented default that differs from the one in the code.
func TestReferenceDefaults(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	defaults := Default()
	rows := map[string]string{
		"seats": "7", "sync_interval": "1s", "task_lease": "15s", "renew_interval": "5s",
		"balancer_delay": "2s", "stop_limit": "60s",
		"max_concurrent_calls": "2000", "store_reads_per_s": "200", "store_writes_per_s": "50", "log_level": "info",
	}
	document := `{"vm_id":"v","region":"r","data_centre":"d","caller_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","store_address":"127.0.0.1:3"`
	for name, value := range rows {
		if !strings.Contains(string(page), "| `"+name+"` | "+value+" |") {
			t.Errorf("the page lacks %s with the default %s", name, value)
		}
		if strings.Trim(value, "0123456789") == "" {
			document += `,"` + name + `":` + value
		} else {
			document += `,"` + name + `":"` + value + `"`
		}
	}
	explicit, err := Parse([]byte(document + "}"))
	if err != nil {
		t.Fatal(err)
	}
	defaults.VM, defaults.Region, defaults.DataCentre = explicit.VM, explicit.Region, explicit.DataCentre
	defaults.CallerAddress, defaults.PeerAddress, defaults.StoreAddress =
		explicit.CallerAddress, explicit.PeerAddress, explicit.StoreAddress
	if !reflect.DeepEqual(defaults, explicit) {
		t.Errorf("the documented defaults result in %+v, the code has %+v", explicit, defaults)
	}
}
