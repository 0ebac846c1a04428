package simwire

import (
	"strings"
	"testing"
)

const up = `UP I=front_0 Entropy=7 BootInfo={"Az":"a","Ceilings":{"MaxAttempts":6,"Probes":true,"MayCancel":true},` +
	`"Contract":{"AnswerSlack":20000,"Cold":1000000,"TipAfter":1000000,"FallMultiple":3,"StartCapacity":0.2},` +
	`"Extra":{"Behind":"off","Freshness":["write"],"OldestData":[0],"PositionZero":1000,"SessionMarks":"carried"},` +
	`"Profiles":[{"Aim":400000,"HardLimit":1500000,"Idempotency":"once","Name":"w","Worth":1}],` +
	`"RegistryMode":"pushed","ReplicasOfMe":1,"Round":5000,"Unknown":{"x":1}}`

const oneStoreList = "MANIFEST Buffer=0 Entries=1\nENTRY Kind=k Share=1 Store=5 Az=a Condition=1 IsPrimary=1 Db=3\n" +
	"MEMBERSHIP I=front_0 How=4 SeqNo=1 Buffer=0\n"

func play(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatch(t *testing.T) {
	out, err := play(t, "TICK Clock=500000 round=1\n"+up+"\n"+oneStoreList+
		"ACCEPT I=front_0 Tid=t/a Remaining=900000 Cls=w ClusterNo=3 Session=s New=1\nCOMMIT\n"+
		"TICK Clock=505000 round=2\nSTOP I=front_0\n"+up+"\n"+oneStoreList+"LEFT I=front_0 Tid=t/gone\nCOMMIT\n")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, "SEND I=front_0 Tid=t/a Store=5 TryUntil=1400000\n") ||
		!strings.HasSuffix(out, "FINISHED round=2\n") {
		t.Errorf("reply:\n%s", out)
	}
}

func TestBadInput(t *testing.T) {
	head := "TICK Clock=500000 round=4\n" + up + "\n" + oneStoreList
	for _, c := range []struct{ name, in, want string }{
		{"outside a batch", "STOP I=front_0\n", "outside a batch"},
		{"unknown message", head + "HELLO I=front_0\n", `unknown message "HELLO"`},
		{"unknown instance", "TICK Clock=1 round=4\nLEFT I=front_9 Tid=t/a\n", `"front_9" is not up`},
		{"unknown store", head + "CHECK_RESULT I=front_0 Store=9 StateCode=0\n", "store 9 was in no list"},
		{"unknown list", head + "MEMBERSHIP I=front_0 How=2 SeqNo=1 Buffer=3\n", "no list 3"},
		{"malformed field", head + "LEFT I=front_0 Tid\n", "malformed field"},
		{"short list", "TICK Clock=1 round=4\nMANIFEST Buffer=0 Entries=2\nCOMMIT\n", "list 0 lacks 2 entries"},
		{"unknown profile", head + "ACCEPT I=front_0 Tid=t/a Remaining=1 Cls=x ClusterNo=3\n", `profile "x"`},
		{"no profiles", "TICK Clock=1 round=4\nUP I=front_0 Entropy=1 BootInfo={}\n", "Profiles is missing"},
		{"unequal lists", "TICK Clock=1 round=4\n" + strings.Replace(up, `["write"]`, `[]`, 1) + "\n", "Extra.Freshness"},
		{"negative bound", "TICK Clock=1 round=4\n" + strings.Replace(up, `[0]`, `[-100]`, 1) + "\n", "Extra.OldestData[0] is negative"},
		{"cut off", head, "input ends inside a batch"},
	} {
		out, err := play(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q in it", c.name, err, c.want)
		}
		if c.name != "cut off" && c.name != "outside a batch" && !strings.Contains(err.Error(), "batch 4, line ") {
			t.Errorf("%s: %v names no batch and line", c.name, err)
		}
		if strings.Contains(out, "FINISHED") {
			t.Errorf("%s: answered %q", c.name, out)
		}
	}
}
