package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// configure puts other settings in force, in the module and in the model.
func (front *modelFront) configure(c Settings) {
	front.t.Helper()
	front.record("configure %+v", c.Classes)
	if err := front.balancer.Configure(front.now, c); err != nil {
		front.t.Fatal(err)
	}
	front.settings = c
}

// otherSettings draws settings that differ from some in what operators change while fronts run: what classes there are and
// what each asks for, tenants, attempts and the number of fronts.
func otherSettings(c Settings, r *rand.Rand) Settings {
	whole := testSettings().Classes
	c.Classes = nil
	for _, class := range whole {
		if r.IntN(6) == 0 {
			continue // it is taken out
		}
		class.Bound = class.Bound * Time(1+r.IntN(4)) / 2
		class.Window = class.Window * Time(1+r.IntN(4)) / 2
		class.ExpectedTime = class.ExpectedTime * Time(1+r.IntN(4)) / 2
		class.Deadline = class.Deadline * Time(1+r.IntN(4)) / 2
		class.Credit = float64(r.IntN(5))
		if class.Need == Write {
			class.Repeat = []Repeat{AtMostOnce, Keyed}[r.IntN(2)]
		}
		c.Classes = append(c.Classes, class)
	}
	if len(c.Classes) == 0 {
		c.Classes = whole[:1]
	}
	r.Shuffle(len(c.Classes), func(i, k int) { c.Classes[i], c.Classes[k] = c.Classes[k], c.Classes[i] })
	c.Tenants = []Tenant{{Name: "c", Quota: float64(r.IntN(900))}, {Name: "d", Quota: 10}}[:1+r.IntN(2)]
	c.MaxAttempts = 2 + r.IntN(6)
	c.Fronts = 1 + r.IntN(800)
	return c
}

// changed gives settings in which one class is another, by its name.
func changed(c Settings, name string, change func(class *Class)) Settings {
	c.Classes = slices.Clone(c.Classes)
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			change(&c.Classes[i])
		}
	}
	return c
}

// TestWriteInHandKeepsItsRepeat: settings come into force that allow repeats of a class while a write of it is out, and its
// answer is lost. It came as at-most-once and has one attempt; one that comes later may be repeated.
func TestPendingWriteKeepsItsRepeat(t *testing.T) {
	front := threeStores(t, testSettings())
	front.submit(newRequest("before", "once"))
	front.configure(changed(front.settings, "once", func(class *Class) { class.Repeat = Idempotent }))
	front.submit(newRequest("behind", "once"))
	for _, id := range []string{"before", "behind"} {
		front.finish(id, 0, Result{Ending: ConnectionLost})
	}
	front.advance(2 * second)
	if before, behind := len(front.requests["before"].attempts), len(front.requests["behind"].attempts); before != 1 || behind < 2 {
		t.Errorf("%d attempts of the write that came before, %d of the one behind", before, behind)
	}
	if front.requests["before"].finals != 1 {
		t.Error("the write that came before has no final answer")
	}
}

// TestClassTakenOutWithAWriteInHand: a class is taken out while a write of it is out. The write is answered, the reads of its
// session see it, and no further request of that class is taken.
func TestClassRemovedDuringAWrite(t *testing.T) {
	c := testSettings()
	c.FencesCarried = false
	front := threeStores(t, c)
	write := newRequest("w", "once")
	write.Session = "s"
	front.submit(write)
	without := front.settings
	without.Classes = slices.DeleteFunc(slices.Clone(c.Classes), func(class Class) bool { return class.Name == "once" })
	front.configure(without)
	front.advance(100)
	front.finish("w", 0, Result{Ending: Served, Note: Report{Position: front.now, Role: Primary}})
	read := newRequest("r", "session")
	read.Session = "s"
	front.submit(read)
	front.advance(1000) // it may ask a replica first
	if store := front.lastStore(t, "r"); store != 1 {
		t.Errorf("a read behind the write went to store %d, which has not shown it", store)
	}
	if err := front.balancer.Submit(front.now, newRequest("late", "once")); err == nil {
		t.Error("a class that was taken out is taken")
	}
}

// TestFaultySettingsChangeNothing: settings out of range are refused, and those before stay in force as a whole.
func TestFaultySettingsChangeNothing(t *testing.T) {
	front := threeStores(t, testSettings())
	before := *front.balancer
	for _, faulty := range []Settings{
		{Fronts: 9},
		changed(front.settings, "marked", func(class *Class) { class.Window = -1 }),
		changed(front.settings, "any", func(class *Class) { class.ExpectedTime = 0 }),
	} {
		faulty.WarmupTime, faulty.MaxAttempts = 5, 1
		if err := front.balancer.Configure(front.now+50, faulty); err == nil {
			t.Error("faulty settings are taken")
		}
	}
	after := front.balancer
	if after.warmupTime != before.warmupTime || after.maxAttempts != before.maxAttempts || after.minLimit != before.minLimit ||
		!slices.Equal(after.classes, before.classes) {
		t.Error("a part of the faulty settings is in force")
	}
	front.submit(newRequest("w", "marked"))
	front.lastStore(t, "w")
}

// TestClassPlacesAreGivenBack: what is kept of classes is bounded by those in force and those that requests in hand came
// under, however often settings change.
func TestClassSlotsAreReused(t *testing.T) {
	front := threeStores(t, testSettings())
	front.submit(newRequest("long", "once"))
	for n := range 2000 {
		front.configure(changed(front.settings, "any", func(class *Class) { class.Credit = float64(n + 2) }))
	}
	if most := len(front.settings.Classes) + 2; len(front.balancer.classes) > most {
		t.Errorf("%d places of classes, %d at most expected", len(front.balancer.classes), most)
	}
}

// TestLearntIsKept: new figures of a class leave what its attempts were seen to take, and what tenants have left.
func TestConfigureKeepsLearnedState(t *testing.T) {
	front := threeStores(t, testSettings())
	for k := range 40 {
		id := string(rune('A' + k))
		in := newRequest(id, "any")
		in.Tenant = "c"
		front.submit(in)
		front.advance(100)
		front.finish(id, 0, Result{Ending: Served, Note: Report{Position: front.now, Role: Replica}})
	}
	typical, bucket := front.balancer.classes[front.balancer.classOf["any"]].typicalTime, front.balancer.tenants["c"].tokens
	front.configure(changed(front.settings, "any", func(class *Class) { class.Credit = 9 }))
	if got := front.balancer.classes[front.balancer.classOf["any"]]; got.typicalTime != typical || got.Credit != 9 {
		t.Errorf("typical %v with credit %v, %v before", got.typicalTime, got.Credit, typical)
	}
	if got := front.balancer.tenants["c"].tokens; got != bucket {
		t.Errorf("the tenant's bucket holds %v, %v before", got, bucket)
	}
}
