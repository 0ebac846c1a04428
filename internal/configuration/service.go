package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"micatrack/internal/peers"
)

const (
	changeTimeout   = 4 * time.Second        // that a change takes at most, an election included
	readTimeout     = 2 * time.Second        // and a question
	roundInterval   = 100 * time.Millisecond // between two rounds
	unknownMessage  = "no control machine answered in time; it may come into force: see 'micatrack config history'"
	maxHops         = 3 // to another machine that is said to lead, before the next one in the list is asked
	noLeaderMessage = "no control machine leads, or none can be reached; nothing was changed"
)

// Service asks the control machines for one front's commands. Any goroutine may use it, but not the loop.
type Service struct {
	// Ask asks one control machine; peers.ErrUnreachable: nothing was sent.
	Ask func(addr string, request []byte) ([]byte, error)
}

// command is how far a command has come.
type command struct {
	uncertain bool // an earlier try may be committed, or come to be
	answer    Answer
	finished  bool
}

// Do asks the control machines at these addresses until one of them has worked on a request.
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
			// Danger: two that take each other for the leader would be asked in turn without a pause.
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

// askOne asks one control machine, and gives who has to be asked in its place, if it says so.
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
		// Danger: a try whose answer was lost may be committed, so what refuses this one must refuse that one
		// as well.
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

// isChange tells whether a request changes anything.
func (r *Request) isChange() bool { return r.Op == OpSet || r.Op == OpRollback }
