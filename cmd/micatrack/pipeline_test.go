package main

import (
	"net"
	"strings"
	"testing"
	"time"
)

// TestPipelineOverConnections: a read behind a slow one reaches its store while that one is still out, and both are
// answered in order. A read whose time runs out behind the write before it is refused right behind the write's answer,
// and never sent on.
func TestPipelineOverConnections(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	seen := w.watchIDs()
	release := make(chan struct{})
	w.does(func(_, query string) (string, func(*net.TCPConn)) {
		seen.note(query)
		if strings.Contains(query, "id=slow") {
			<-release
		}
		return value, nil
	})
	w.start()

	reader := w.client()
	reader.send("slow-read", "any", 2500)
	reader.send("quick-read", "any", 2500)
	seen.wait(t, "quick-read")
	release <- struct{}{}
	for _, command := range []string{"slow-read", "quick-read"} {
		if got := reader.answer(); got != "value" {
			t.Errorf("%s: %s", command, got)
		}
	}

	writer := w.client()
	writer.send("slow-write", "save", 2500)
	writer.send("late-read", "mine", 200)
	seen.wait(t, "slow-write")
	time.Sleep(400 * time.Millisecond)
	close(release)
	if got := writer.answer(); got != "value" {
		t.Errorf("slow-write: %s", got)
	}
	if got := writer.answer(); got != "53300" {
		t.Errorf("late-read: %s", got)
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if sent := seen.at["late-read"]; len(sent) != 0 {
		t.Errorf("late-read was sent on %d times", len(sent))
	}
}
