package config

import "fmt"

// rollout is how a leading distributor sees the open roll-out.
type rollout struct {
	checkAt    Time
	stepSince  Time // when the step became the newest version here
	doneAt     Time // when every front of the step had it in force; 0: not yet
	proposedAt Time // when an entry was proposed; 0: none is open
}

// Spans of roll-outs.
const (
	rolloutInterval = 200 * Millisecond
	proposeTimeout  = 3 * Second   // after which an entry that has not come is proposed again
	frontTTL        = 600 * Second // after which a control machine forgets a front that it does not hear of
	rolloutAuthor   = "roll-out"   // of entries that a distributor makes
)

// checkRollout brings the open roll-out a step further, or stops it.
// Danger: a change that fronts refuse, or that has them fall silent, would go on to all of them.
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

// audience counts the fronts that a stage reaches and those of them that have it in force. One that has
// fallen silent since it had it in force is reached and not done.
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

// abortIfOverdue stops a roll-out whose step takes too long.
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
