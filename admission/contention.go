package admission

import (
	"fmt"
	"strings"
)

// When contention begins and ends, relative to the shortest expected time of all classes.
const (
	// contentionDivisor gives the part of that time for which requests have to wait before contention is logged.
	contentionDivisor = 4
	// quietFactor is the multiple of that time without waiting requests after which contention has ended.
	emptyFactor = 2
)

// logTenants is the number of tenants that a log line names.
const maxLoggedTenants = 3

// needNames are the names of balance.Need values in log lines.
var needNames = [...]string{"any data", "bounded age", "session", "fresh", "writes"}

// logContention logs the beginning and the end of contention. It is called at each tick.
func (s *scheduler) logContention(c *Controller) {
	if s.waiting > 0 {
		s.emptySince = 0
		if s.waitingSince == 0 {
			s.waitingSince = c.now
		}
		if !s.contended && c.now-s.waitingSince > c.minExpectedTime/contentionDivisor {
			s.beginContention(c)
		}
		return
	}
	s.waitingSince = 0
	if s.emptySince == 0 {
		s.emptySince = c.now
	}
	if c.now-s.emptySince > emptyFactor*c.minExpectedTime {
		s.sampledSpan = 0
	}
	if s.contended && s.sampledSpan == 0 {
		s.endContention(c)
	}
}

// beginContention logs the beginning of contention, with the tenants that have the most waiting work.
func (s *scheduler) beginContention(c *Controller) {
	s.contended = true
	s.refused = 0
	c.totals.Contended++
	heaviest := s.heaviestTenants(c, func(f *flow) float64 { return f.workBefore(retry) })
	c.handler.Log(fmt.Sprintf("door: jobs wait at group %d (%s): %d; of the work: %s",
		s.key.group, needNames[s.key.need], s.waiting, heaviest))
	for k := range s.flows {
		s.flows[k].admittedWork = 0
	}
}

// endContention logs the end of contention, with the tenants that had the most work admitted meanwhile.
func (s *scheduler) endContention(c *Controller) {
	s.contended = false
	heaviest := s.heaviestTenants(c, func(f *flow) float64 { return f.admittedWork })
	c.handler.Log(fmt.Sprintf(
		"door: no job waits at group %d (%s) any more; turned back meanwhile: %d; of the work let in: %s",
		s.key.group, needNames[s.key.need], s.refused, heaviest))
}

// heaviestTenants returns the names of the tenants with the largest parts of the sum of valueOf over all
// flows, with their percentages.
func (s *scheduler) heaviestTenants(c *Controller, valueOf func(f *flow) float64) string {
	var flowIndexes [maxLoggedTenants]int32
	var values [maxLoggedTenants]float64
	sum := 0.0
	for k := range s.flows {
		flowIndex, value := int32(k), valueOf(&s.flows[k])
		sum += value
		for rank := range values {
			if value > values[rank] {
				values[rank], value = value, values[rank]
				flowIndexes[rank], flowIndex = flowIndex, flowIndexes[rank]
			}
		}
	}
	var texts []string
	for rank, value := range values {
		if value > 0 {
			texts = append(texts, fmt.Sprintf("%s %.0f%%", c.tenants.label(flowIndexes[rank]), 100*value/sum))
		}
	}
	return strings.Join(texts, ", ")
}
