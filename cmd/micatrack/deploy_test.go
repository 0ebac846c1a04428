package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// TestDeployedFrontIsDynamicallyLinked: the operators load a library of theirs into the front, which only a program
// with an interpreter takes in. A build in pure Go would start everywhere but there.
func TestDeployedFrontIsDynamicallyLinked(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	flags := regexp.MustCompile(`(?m)^build = .*&& (CGO_ENABLED=\d) go build (-ldflags=\S+) -o bin/ \./cmd/\.\.\."$`).FindSubmatch(text)
	if flags == nil {
		t.Fatal("deploy/balancer.toml: build asks for no linking from outside")
	}
	path := filepath.Join(t.TempDir(), "micatrack")
	build := exec.Command("go", "build", string(flags[2]), "-o", path, ".")
	build.Env = append(os.Environ(), string(flags[1]))
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			return
		}
	}
	t.Error("the front has no interpreter")
}
