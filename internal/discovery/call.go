package discovery

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const maxCalls = 8 // to discovery that have no answer yet

// reply is what became of one call.
type reply struct {
	slot     int
	response *http.Response
	err      error
}

// body is a response's. Closing it ends its call too.
type body struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close ends the call.
func (b body) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// call asks discovery for a watch and gives the first response, whose body has to be closed. Each Ask while there is none
// makes one more call beside those without an answer, up to maxCalls. A call is given up once it has had no answer for
// Watcher.answers. The error is the last call's, once all have ended.
//
// Danger: a call that was made while discovery was silent may never be answered though discovery speaks again, and what
// it has from then on counts as told.
func (w *Watcher) call(ctx context.Context, url string) (*http.Response, error) {
	replies := make(chan reply, maxCalls)
	var ends [maxCalls]context.CancelFunc // nil: no call
	begin := func() {
		for slot := range ends {
			if ends[slot] == nil {
				var own context.Context
				own, ends[slot] = context.WithCancel(ctx)
				go func() {
					response, err := w.request(own, url)
					replies <- reply{slot, response, err}
				}()
				return
			}
		}
	}
	told := false
	for begin(); ; {
		select {
		case <-w.ask:
			begin()
		case r := <-replies:
			end := ends[r.slot]
			ends[r.slot] = nil
			if r.err == nil {
				go abandon(replies, cancelAll(ends[:]))
				r.response.Body = body{r.response.Body, end}
				return r.response, nil
			}
			end()
			if countOpen(ends[:]) == 0 {
				return nil, r.err
			}
			if !told && errors.Is(r.err, errSilent) {
				told = true
				w.log.Warn("discovery does not answer, calls go on")
			}
		}
	}
}

// request makes one call. It is given up where no response begins within Watcher.answers.
func (w *Watcher) request(ctx context.Context, url string) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(w.answers, func() { cancel(errSilent) })
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		cancel(err)
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		err = cmp.Or(context.Cause(ctx), err)
		cancel(err)
		return nil, err
	}
	if !timer.Stop() {
		response.Body.Close()
		return nil, errSilent
	}
	return response, nil
}

// countOpen counts the calls that have not ended.
func countOpen(ends []context.CancelFunc) (count int) {
	for _, end := range ends {
		if end != nil {
			count++
		}
	}
	return count
}

// cancelAll ends all calls and tells how many there were.
func cancelAll(ends []context.CancelFunc) int {
	for _, end := range ends {
		if end != nil {
			end()
		}
	}
	return countOpen(ends)
}

// abandon gives back what calls still bring that are not needed any more.
func abandon(replies <-chan reply, count int) {
	for range count {
		if r := <-replies; r.err == nil {
			r.response.Body.Close()
		}
	}
}
