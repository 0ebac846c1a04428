package summary

import "testing"

type host struct {
	token uint64
	may   bool
	told  []uint64
	log   []string
}

func (h *host) LeaseToken(_ string, _ Time) (uint64, bool) { return h.token, h.may }
func (h *host) SendSummary(token uint64, _ uint64, _ Time) { h.told = append(h.told, token) }
func (h *host) Log(text string)                            { h.log = append(h.log, text) }

// TestOneAtATime: a summary is told where the lease lets it be over in time, once a span, and never two at once.
func TestOneAtATime(t *testing.T) {
	h := &host{token: 7}
	s := New(0, 100, 30, h)
	s.Tick(0)
	if len(h.told) != 0 {
		t.Error("told without a lease")
	}
	h.may = true
	s.LeaseAcquired(50)
	s.Tick(50)
	s.Tick(60)
	if s.Tick(150); len(h.told) != 1 || !s.Sending() {
		t.Errorf("%v told while one was under way", h.told)
	}
	s.SendFinished(160, true, "")
	if s.Tick(250); len(h.told) != 2 || len(h.log) != 1 {
		t.Errorf("%v told, %v", h.told, h.log)
	}
}
