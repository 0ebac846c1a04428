//go:build linux && amd64

package syscallfault

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// runCat runs cat on a file of size bytes with the faults and returns the file's content and cat's output.
func runCat(t *testing.T, size int, faults FaultFunc) (want, got []byte) {
	t.Helper()
	want = bytes.Repeat([]byte("0123456789"), size/10)
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, want, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("cat", path)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	process, err := Start(cmd, faults)
	if err != nil {
		t.Fatal(err)
	}
	var all bytes.Buffer
	all.ReadFrom(out)
	if err := process.Wait(); err != nil {
		t.Fatal(err)
	}
	return want, all.Bytes()
}

func TestShortAndFailedWrites(t *testing.T) {
	writes, failed := 0, 0
	want, got := runCat(t, 1000, func(call Call) Fault {
		if call.Number != syscall.SYS_WRITE || call.Descriptor != 1 {
			return Fault{}
		}
		if writes++; writes == 3 {
			failed++
			return Fault{Errno: syscall.EINTR}
		}
		return Fault{Size: min(7, call.Size)}
	})
	if !bytes.Equal(got, want) || failed != 1 || writes != (1000+6)/7+1 {
		t.Errorf("%d of %d bytes in %d writes, %d failed", len(got), len(want), writes, failed)
	}
}

func TestDelayedCall(t *testing.T) {
	const delay = 300 * time.Millisecond
	begun, held := time.Now(), false
	want, got := runCat(t, 100, func(call Call) Fault {
		if call.Number != syscall.SYS_WRITE || call.Descriptor != 1 || held {
			return Fault{}
		}
		held = true
		return Fault{Delay: delay}
	})
	if took := time.Since(begun); !bytes.Equal(got, want) || took < delay {
		t.Errorf("%d of %d bytes in %v", len(got), len(want), took)
	}
}
