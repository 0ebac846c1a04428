package discovery

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const maxCalls = 8 // bound on concurrent unanswered calls to discovery

// reply is the result of one call.
type reply struct {
	slot     int
	response *http.Response
	err      error
}

// responseBody is the body of a response. Closing it also cancels the call.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the call.
func (b responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// call requests a watch from discovery and returns the first response, whose body the caller must close. Each Connect while
// there is no response makes one more call in parallel with the unanswered ones, up to maxCalls. A call that has no answer
// after Watcher.answerTimeout is abandoned. Once all calls have failed, call returns the error of the last one.
//
// Parallel calls are needed because a call made while discovery was unresponsive may never be answered, even after discovery
// has recovered. From the recovery on, what discovery publishes counts as known to the front.
func (w *Watcher) call(ctx context.Context, url string) (*http.Response, error) {
	replies := make(chan reply, maxCalls)
	var cancels [maxCalls]context.CancelFunc // nil: the slot has no call
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

// request makes one call. It is abandoned with errSilent if no response begins within Watcher.answerTimeout.
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

// countOpen returns the number of calls that have not ended.
func countOpen(cancels []context.CancelFunc) (count int) {
	for _, cancel := range cancels {
		if cancel != nil {
			count++
		}
	}
	return count
}

// cancelAll cancels all calls and returns how many there were.
func cancelAll(cancels []context.CancelFunc) int {
	for _, cancel := range cancels {
		if cancel != nil {
			cancel()
		}
	}
	return countOpen(cancels)
}

// discardReplies receives the replies of count calls that are no longer needed and closes their response bodies.
func discardReplies(replies <-chan reply, count int) {
	for range count {
		if r := <-replies; r.err == nil {
			r.response.Body.Close()
		}
	}
}
