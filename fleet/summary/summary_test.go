package summary

import "testing"

type testHost struct {
	token      uint64
	granted    bool
	sentTokens []uint64
	log        []string
}

func (h *testHost) LeaseToken(_ string, _ Time) (uint64, bool) { return h.token, h.granted }
func (h *testHost) SendSummary(token uint64, _ uint64, _ Time) {
	h.sentTokens = append(h.sentTokens, token)
}
func (h *testHost) Log(text string) { h.log = append(h.log, text) }

// TestOneAtATime: a summary is told where the lease lets it be over in time, once a span, and never two at once.
func TestSendsOneSummaryAtATime(t *testing.T) {
	h := &testHost{token: 7}
	s := New(0, 100, 30, h)
	s.Tick(0)
	if len(h.sentTokens) != 0 {
		t.Error("told without a lease")
	}
	h.granted = true
	s.LeaseAcquired(50)
	s.Tick(50)
	s.Tick(60)
	if s.Tick(150); len(h.sentTokens) != 1 || !s.Sending() {
		t.Errorf("%v told while one was under way", h.sentTokens)
	}
	s.SendFinished(160, true, "")
	if s.Tick(250); len(h.sentTokens) != 2 || len(h.log) != 1 {
		t.Errorf("%v told, %v", h.sentTokens, h.log)
	}
}
