package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"micatrack/internal/peers"
)

const (
	changeWithin   = 4 * time.Second        // that a change takes at most, an election included
	readWithin     = 2 * time.Second        // and a question
	askAgain       = 100 * time.Millisecond // between two rounds
	outcomeUnknown = "no control machine answered in time; it may come into force: see 'micatrack config history'"
	maxHops        = 3 // to another machine that is said to lead, before the next one in the list is asked
	nobodyThere    = "no control machine leads, or none can be reached; nothing was changed"
)

// Service asks the control machines for one front's commands. Any goroutine may use it, but not the loop.
type Service struct {
	// Ask asks one control machine; peers.ErrUnreachable: nothing was sent.
	Ask func(addr string, request []byte) ([]byte, error)
}

// attempt is how far a command has come.
type attempt struct {
	uncertain bool // an earlier try may be committed, or come to be
	answer    Answer
	over      bool
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
	var a attempt
	within := readWithin
	if r.changes() {
		within = changeWithin
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(askAgain) {
		for _, addr := range controls {
			// Danger: two that take each other for the leader would be asked in turn without a pause.
			for hops := 0; addr != "" && hops < maxHops && !a.over && time.Now().Before(end); hops++ {
				addr = a.ask(s, addr, request, &r)
			}
		}
		if a.over {
			return a.answer
		}
	}
	if a.uncertain {
		return Answer{Outcome: Unknown, Error: outcomeUnknown}
	}
	return Answer{Outcome: NotHandled, Error: nobodyThere}
}

// ask asks one control machine, and gives who has to be asked in its place, if it says so.
func (a *attempt) ask(s *Service, addr string, request []byte, r *Request) (leader string) {
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
		a.answer, a.over = answer, true
	case Refused:
		// Danger: a try whose answer was lost may be committed, so what refuses this one must refuse that one
		// as well.
		a.answer, a.over = answer, !a.uncertain || answer.Conflict
	case Unknown:
		a.uncertain = a.uncertain || r.changes()
	case NotHandled:
		if answer.Leader != addr {
			return answer.Leader
		}
	}
	return ""
}

// changes tells whether a request changes anything.
func (r *Request) changes() bool { return r.Op == OpSet || r.Op == OpRollback }
