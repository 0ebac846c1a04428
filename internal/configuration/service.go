package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"micatrack/internal/peers"
)

const (
	changeTimeout   = 4 * time.Second        // for a change, including an election
	readTimeout     = 2 * time.Second        // for a query
	roundInterval   = 100 * time.Millisecond // between two rounds over the control machines
	unknownMessage  = "no control machine answered in time; it may come into force: see 'micatrack config history'"
	maxHops         = 3 // redirections to a leader that are followed before the next machine in the list is asked
	noLeaderMessage = "no control machine leads, or none can be reached; nothing was changed"
)

// Service sends the configuration commands of one front to the control machines. It is safe for concurrent
// use. Its methods block, so the event loop must not call them.
type Service struct {
	// Ask sends a request to one control machine and returns its answer. The error peers.ErrUnreachable means
	// that nothing was sent.
	Ask func(addr string, request []byte) ([]byte, error)
}

// command is the state of one Request that is being sent to the control machines.
type command struct {
	uncertain bool   // an earlier attempt may be committed, now or later
	answer    Answer // final answer; valid if finished
	finished  bool
}

// Do sends a request to the control machines at the given addresses until one of them has processed it or
// the time is up.
func (s *Service) Do(controls []string, r Request) Answer {
	if err := r.check(); err != nil {
		return Answer{Outcome: Refused, Error: err.Error()}
	}
	request, err := json.Marshal(r)
	if err != nil {
		return Answer{Outcome: Refused, Error: err.Error()}
	}
	var cmd command
	timeout := readTimeout
	if r.isChange() {
		timeout = changeTimeout
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(roundInterval) {
		for _, addr := range controls {
			// The hops are limited, because two machines that each take the other for the leader would
			// otherwise be asked in turn without a pause.
			for hops := 0; addr != "" && hops < maxHops && !cmd.finished && time.Now().Before(end); hops++ {
				addr = cmd.askOne(s, addr, request, &r)
			}
		}
		if cmd.finished {
			return cmd.answer
		}
	}
	if cmd.uncertain {
		return Answer{Outcome: Unknown, Error: unknownMessage}
	}
	return Answer{Outcome: NotHandled, Error: noLeaderMessage}
}

// askOne sends the request to one control machine. It returns the address of the leader if the machine
// redirects to it, else "".
func (c *command) askOne(s *Service, addr string, request []byte, r *Request) (leader string) {
	text, err := s.Ask(addr, request)
	if errors.Is(err, peers.ErrUnreachable) {
		return ""
	}
	var answer Answer
	if err == nil {
		err = json.Unmarshal(text, &answer)
	}
	if err != nil {
		answer = Answer{Outcome: Unknown, Error: fmt.Sprint(err)}
	}
	switch answer.Outcome {
	case Done:
		c.answer, c.finished = answer, true
	case Refused:
		// An earlier attempt whose answer was lost may still be committed. The refusal is final only if it
		// also applies to that attempt.
		c.answer, c.finished = answer, !c.uncertain || answer.Conflict
	case Unknown:
		c.uncertain = c.uncertain || r.isChange()
	case NotHandled:
		if answer.Leader != addr {
			return answer.Leader
		}
	}
	return ""
}

// isChange reports whether a request changes the configuration.
func (r *Request) isChange() bool { return r.Op == OpSet || r.Op == OpRollback }
