package operators

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestShippedFileIsOff checks that admission control is off in the shipped file, with its bounds set, and without a file.
func TestShippedFileIsOff(t *testing.T) {
	o, err := Read("../../deploy/operators.json")
	if err != nil || o.Door.On || o.Door.Jobs == 0 || o.Door.Strangers == 0 {
		t.Errorf("%+v, %v", o, err)
	}
	if o, err := Read(""); err != nil || o.Door.On {
		t.Errorf("no file: %+v, %v", o, err)
	}
}

// TestErrorsNameKeyAndExpectation checks that errors of Read contain the file, the key and what was expected, and that Parse
// fills in defaults.
func TestErrorsNameKeyAndExpectation(t *testing.T) {
	for text, want := range map[string]string{
		`{"door":{"on":true,"jobs":1}}`:       "/door/jobs: minimum: got 1, want 16",
		`{"door":{"on":"yes"}}`:               "/door/on: got string, want boolean",
		`{"door":{"on":true,"job":100}}`:      "/door/job: unknown key",
		`{"dor":{}}`:                          "/dor: unknown key",
		`{"door":{}}`:                         "/door: missing property 'on'",
		`{"door":{"on":true,"strangers":0}}`:  "/door/strangers: exclusiveMinimum",
		`[]`:                                  "/: got array, want object",
		`{"door":`:                            "/: invalid JSON",
		`{"door":{"on":true,"jobs":1,"x":2}}`: "; ",
	} {
		path := filepath.Join(t.TempDir(), "o.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	o, err := Parse([]byte(`{"door":{"on":true,"jobs":100}}`))
	if err != nil || !o.Door.On || o.Door.Jobs != 100 || o.Door.Places != 64 {
		t.Errorf("%+v, %v", o, err)
	}
}
