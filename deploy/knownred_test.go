package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed: what CI passes over is named whole, exists, and is three tests at most; all else fails it.
func TestKnownRed(t *testing.T) {
	const a, b, c, d = "TestKnownRed | cause one | issue 1\n", "TestServed | cause two | issue 2\n",
		"TestOutcomes | cause three | issue 3\n", "TestDecode | cause four | issue 4\n"
	for _, k := range []struct {
		name, text, pattern string
		fails               bool
	}{
		{"none", "", "", false},
		{"one", a, "^(TestKnownRed)$", false},
		{"three", a + "\n" + b + c, "^(TestKnownRed|TestServed|TestOutcomes)$", false},
		{"no end of line", strings.TrimSpace(a), "^(TestKnownRed)$", false},
		{"four", a + b + c + d, "", true},
		{"unknown", "TestThatIsNot | cause | issue 1\n", "", true},
		{"part of a name", "TestKnown | cause | issue 1\n", "", true},
		{"pattern", "Test.* | cause | issue 1\n", "", true},
		{"twice", a + a, "", true},
		{"no issue", "TestKnownRed | cause\n", "", true},
		{"no cause", "TestKnownRed | | issue 1\n", "", true},
		{"name alone", "TestKnownRed\n", "", true},
	} {
		path := filepath.Join(t.TempDir(), "red.txt")
		if err := os.WriteFile(path, []byte(k.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", "../.ci/known-red", path)
		out, err := cmd.Output()
		if (err != nil) != k.fails || !k.fails && strings.TrimSpace(string(out)) != k.pattern {
			t.Errorf("%s: %q, %v", k.name, out, err)
		}
	}
	out, err := exec.Command("bash", "../.ci/known-red", filepath.Join(t.TempDir(), "none")).Output()
	if err != nil || len(out) > 0 {
		t.Errorf("no file: %q, %v", out, err)
	}
}
