package config

import "fmt"

// rollout is the state of the open roll-out on the leading control machine.
type rollout struct {
	checkAt    Time // when the roll-out is checked next
	stepSince  Time // when the current step became the newest version on this machine
	doneAt     Time // when every front of the step had it in force; 0: not yet
	proposedAt Time // when an entry was last proposed; 0: no proposal is pending
}

// Timeouts of roll-outs.
const (
	rolloutInterval = 200 * Millisecond // between two checks of the open roll-out
	proposeTimeout  = 3 * Second        // after which an entry that was not applied is proposed again
	frontTTL        = 600 * Second      // after which a control machine drops a front that it does not hear from
	rolloutAuthor   = "roll-out"        // author of the entries that a distributor proposes
)

// checkRollout advances the open roll-out or aborts it. Aborting prevents a change that fronts refuse, or
// that makes them fall silent, from reaching all fronts.
func (d *Distributor) checkRollout() {
	stage := d.log.Document().Stage
	if stage == nil || !d.isLeader || d.rollout.proposedAt != 0 && d.now-d.rollout.proposedAt < proposeTimeout {
		return
	}
	if d.rollout.stepSince == 0 {
		d.rollout.stepSince = d.now
	}
	reached, done, refusal := d.audience(stage)
	switch {
	case refusal != "":
		d.propose(KindAbort, refusal)
	case reached == 0 || done < reached:
		d.rollout.doneAt = 0
		d.abortIfOverdue(stage, reached, done)
	case d.rollout.doneAt == 0:
		d.rollout.doneAt = d.now
	case d.now-d.rollout.doneAt >= stage.Plan.Soak:
		d.propose(KindAdvance, fmt.Sprintf("%d fronts of the step have it in force", done))
	}
}

// audience returns the number of fronts that a stage includes, how many of them have it in force, and a
// description of the first refusal, if any. A front that has fallen silent since it received the stage
// counts as reached but not as done.
func (d *Distributor) audience(stage *Stage) (reached, done int, refusal string) {
	for _, f := range d.frontStatuses(d.now) {
		if !stage.Includes(f.Name, f.Zone) || f.State == StateSilent && f.Received < stage.Began {
			continue
		}
		reached++
		switch {
		case f.State == StateInForce && f.InForce == d.log.Newest():
			done++
		case (f.State == StateRefused || f.State == StateHeld) && f.Received >= stage.Began && refusal == "":
			refusal = fmt.Sprintf("%s %v it: %s", f.Name, f.State, f.Reason)
		}
	}
	return reached, done, refusal
}

// abortIfOverdue aborts a roll-out whose current step has exceeded its limit.
func (d *Distributor) abortIfOverdue(stage *Stage, reached, done int) {
	limit := stage.Plan.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	if d.now-d.rollout.stepSince > limit {
		reason := fmt.Sprintf("%d of %d fronts of the step had it in force in time", done, reached)
		d.propose(KindAbort, reason)
	}
}

// propose proposes the entry that advances or aborts the open roll-out.
func (d *Distributor) propose(kind Kind, reason string) {
	prepare := d.log.PrepareAbort
	if kind == KindAdvance {
		prepare = d.log.prepareAdvance
	}
	reason = reason[:min(len(reason), MaxReason)]
	entry, err := prepare(rolloutAuthor, reason, max(d.host.UnixMilliseconds(), 0))
	if err == nil {
		err = d.host.Propose(entry)
	}
	if err != nil {
		d.host.Log(fmt.Sprintf("roll-out: %v", err))
	}
	d.rollout.proposedAt = d.now
}
