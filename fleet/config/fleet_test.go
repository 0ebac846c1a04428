package config

import (
	"slices"
	"testing"
)

func TestFirst(t *testing.T) {
	w := newWorld(t, 1, 5, 100, 6)
	w.loss = 50
	w.run(5 * Second)
	for k := range 10 {
		v := w.change("settings", settings(40, k, k), nil)
		begin := w.now
		var took []Time
		took = append(took, w.runUntil(20*Second, func() bool { return w.everyone(v, nil) }))
		told := w.runUntil(20*Second, func() bool { return w.leader().control.Status(w.now).Everywhere })
		t.Log(v, took, told, w.now-begin)
		w.run(5 * Second)
	}
	var worst []int64
	for _, m := range w.fronts {
		worst = append(worst, m.worst(0))
	}
	slices.Sort(worst)
	t.Log("worst ten seconds", worst[50], worst[99], "control", w.controls[0].worst(0))
	w.check()
}
