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

// TestSendsOneSummaryAtATime checks that a summary is sent only while the lease permits it, once per
// interval, and never while another one is being sent.
func TestSendsOneSummaryAtATime(t *testing.T) {
	h := &testHost{token: 7}
	s := New(0, 100, 30, h)
	s.Tick(0)
	if len(h.sentTokens) != 0 {
		t.Error("a summary was sent without a lease")
	}
	h.granted = true
	s.LeaseAcquired(50)
	s.Tick(50)
	s.Tick(60)
	if s.Tick(150); len(h.sentTokens) != 1 || !s.Sending() {
		t.Errorf("sent with tokens %v while a summary was being sent", h.sentTokens)
	}
	s.SendFinished(160, true, "")
	if s.Tick(250); len(h.sentTokens) != 2 || len(h.log) != 1 {
		t.Errorf("sent with tokens %v, log %v", h.sentTokens, h.log)
	}
}
