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

// responseBody is a response's. Closing it ends its call too.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the call.
func (b responseBody) Close() error {
	defer b.cancel()
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
	var cancels [maxCalls]context.CancelFunc // nil: no call
	startCall := func() {
		for slot := range cancels {
			if cancels[slot] == nil {
				var callCtx context.Context
				callCtx, cancels[slot] = context.WithCancel(ctx)
				go func() {
					response, err := w.request(callCtx, url)
					replies <- reply{slot, response, err}
				}()
				return
			}
		}
	}
	warned := false
	for startCall(); ; {
		select {
		case <-w.connectRequests:
			startCall()
		case r := <-replies:
			cancel := cancels[r.slot]
			cancels[r.slot] = nil
			if r.err == nil {
				go discardReplies(replies, cancelAll(cancels[:]))
				r.response.Body = responseBody{r.response.Body, cancel}
				return r.response, nil
			}
			cancel()
			if countOpen(cancels[:]) == 0 {
				return nil, r.err
			}
			if !warned && errors.Is(r.err, errSilent) {
				warned = true
				w.log.Warn("discovery does not answer, calls go on")
			}
		}
	}
}

// request makes one call. It is given up where no response begins within Watcher.answers.
func (w *Watcher) request(ctx context.Context, url string) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(w.answerTimeout, func() { cancel(errSilent) })
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
func countOpen(cancels []context.CancelFunc) (count int) {
	for _, cancel := range cancels {
		if cancel != nil {
			count++
		}
	}
	return count
}

// cancelAll ends all calls and tells how many there were.
func cancelAll(cancels []context.CancelFunc) int {
	for _, cancel := range cancels {
		if cancel != nil {
			cancel()
		}
	}
	return countOpen(cancels)
}

// discardReplies gives back what calls still bring that are not needed any more.
func discardReplies(replies <-chan reply, count int) {
	for range count {
		if r := <-replies; r.err == nil {
			r.response.Body.Close()
		}
	}
}
