package admission

import (
	"fmt"
	"strings"
)

// Times of contention, in shortest expected times.
const (
	contentionDivisor = 4 // after that part with requests waiting it is logged
	quietFactor       = 2 // after so many without any it has ended
)

// logTenants is how many tenants a log line names.
const logTenants = 3

var needNames = [...]string{"any data", "bounded age", "session", "fresh", "writes"}

// logContention is called at each tick, and logs when contention begins and ends.
func (l *lane) logContention(d *Controller) {
	if l.waiting > 0 {
		l.quietSince = 0
		if l.waitingSince == 0 {
			l.waitingSince = d.now
		}
		if !l.contended && d.now-l.waitingSince > d.quickest/contentionDivisor {
			l.beginContention(d)
		}
		return
	}
	l.waitingSince = 0
	if l.quietSince == 0 {
		l.quietSince = d.now
	}
	if d.now-l.quietSince > quietFactor*d.quickest {
		l.learnedSpan = 0
	}
	if l.contended && l.learnedSpan == 0 {
		l.endContention(d)
	}
}

func (l *lane) beginContention(d *Controller) {
	l.contended = true
	l.refused = 0
	d.totals.Contended++
	heaviest := l.heaviest(d, func(f *flow) float64 { return f.workBefore(retry) })
	d.gate.Log(fmt.Sprintf("door: jobs wait at group %d (%s): %d; of the work: %s",
		l.key.group, needNames[l.key.need], l.waiting, heaviest))
	for k := range l.flows {
		l.flows[k].workDone = 0
	}
}

func (l *lane) endContention(d *Controller) {
	l.contended = false
	heaviest := l.heaviest(d, func(f *flow) float64 { return f.workDone })
	d.gate.Log(fmt.Sprintf(
		"door: no job waits at group %d (%s) any more; turned back meanwhile: %d; of the work let in: %s",
		l.key.group, needNames[l.key.need], l.refused, heaviest))
}

// heaviest names the tenants with the largest parts of a sum.
func (l *lane) heaviest(d *Controller, valueOf func(f *flow) float64) string {
	var places [logTenants]int32
	var values [logTenants]float64
	sum := 0.0
	for k := range l.flows {
		place, value := int32(k), valueOf(&l.flows[k])
		sum += value
		for rank := range values {
			if value > values[rank] {
				values[rank], value = value, values[rank]
				places[rank], place = place, places[rank]
			}
		}
	}
	var texts []string
	for rank, value := range values {
		if value > 0 {
			texts = append(texts, fmt.Sprintf("%s %.0f%%", d.names.call(places[rank]), 100*value/sum))
		}
	}
	return strings.Join(texts, ", ")
}
