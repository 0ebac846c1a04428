package pgwire

import (
	"bytes"
	"strings"
	"testing"
)

const sampleQuery = "/* id=9b1f,c=basket,t=acme,d=480,k=5c0f,cluster=2,after=1767225600123,r=1 */ " +
	"SELECT payload FROM entries WHERE ref = '7f3a'"

func TestMessageAtEverySplit(t *testing.T) {
	whole := AppendSimpleQuery(nil, "SELECT 1")
	for i := range whole {
		if _, _, n, err := ParseMessage(whole[:i], MaxQuerySize); n != 0 || err != nil {
			t.Fatalf("%d bytes: size %d, %v", i, n, err)
		}
	}
	kind, body, n, err := ParseMessage(append(bytes.Clone(whole), 'Q', 0, 0), MaxQuerySize)
	if kind != 'Q' || string(body) != "SELECT 1\x00" || n != len(whole) || err != nil {
		t.Fatalf("%c %q %d %v", kind, body, n, err)
	}
	start := AppendStartup(nil, "web", "orders")
	for i := range start {
		if _, n, err := ParseStartup(start[:i]); n != 0 || err != nil {
			t.Fatalf("%d bytes of a startup message: size %d, %v", i, n, err)
		}
	}
	if code, n, err := ParseStartup(start); code != Version || n != len(start) || err != nil {
		t.Fatalf("%d %d %v", code, n, err)
	}
}

func TestLengthsAreBounded(t *testing.T) {
	for _, in := range []string{"Q\xff\xff\xff\xff", "Q\x00\x00\x00\x03", "Q\x7f\xff\xff\xff"} {
		if _, _, _, err := ParseMessage([]byte(in), MaxQuerySize); err == nil {
			t.Errorf("%q is accepted", in)
		}
	}
	for _, in := range []string{"\x00\x00\x00\x07", "\x00\x10\x00\x00", "\xff\xff\xff\xff"} {
		if _, _, err := ParseStartup([]byte(in)); err == nil {
			t.Errorf("%q is accepted", in)
		}
	}
}

func TestQuery(t *testing.T) {
	s, err := ParseQuery([]byte(sampleQuery))
	if err != nil || string(s.ID) != "9b1f" || string(s.Class) != "basket" || string(s.Tenant) != "acme" ||
		s.TimeLeft != 4800 || string(s.Key) != "5c0f" || s.Group != 2 || s.ReadAfter != 17672256001230 || !s.HasReadAfter ||
		!s.Retry || string(s.Session) != "7f3a" {
		t.Fatalf("%+v, %v", s, err)
	}
	out := s.AppendQuery(nil, []byte(sampleQuery), 77)
	if _, body, _, _ := ParseMessage(out, MaxQuerySize); string(body) != strings.Replace(sampleQuery, "d=480", "d=77", 1)+"\x00" {
		t.Fatalf("%q", body)
	}
	s, err = ParseQuery([]byte("/*cluster=0 , d=0.25,c=w, id=x*/ INSERT INTO entries (ref, payload) VALUES ('a', '\\x00')"))
	if err != nil || s.TimeLeft != 3 || s.Group != 0 || s.HasReadAfter || string(s.Session) != "a" {
		t.Fatalf("%+v, %v", s, err)
	}
	if out := string(s.AppendQuery(nil, []byte("/*cluster=0 , d=0.25,c=w, id=x*/ X"), 1)); !strings.Contains(out, ", d=1,c") {
		t.Fatalf("%q", out)
	}
}

func TestQueryRefused(t *testing.T) {
	for _, c := range [][2]string{
		{"SELECT 1", "no leading comment"},
		{"/* id=1,c=a,d=1,cluster=1", "does not end"},
		{"/* c=a,d=1,cluster=1 */ x", "has no id"},
		{"/* id=1,d=1,cluster=1 */ x", "has no c"},
		{"/* id=1,c=a,cluster=1 */ x", "has no d"},
		{"/* id=1,c=a,d=1 */ x", "has no cluster"},
		{"/* id=1,c=a,d=0,cluster=1 */ x", "d is no time"},
		{"/* id=1,c=a,d=-5,cluster=1 */ x", "d is no time"},
		{"/* id=1,c=a,d=1.,cluster=1 */ x", "d is no time"},
		{"/* id=1,c=a,d=99999999999999999999,cluster=1 */ x", "d is no time"},
		{"/* id=1,c=a,d=1,cluster=x */ x", "cluster is no number"},
		{"/* id=1,c=a,d=1,cluster=1,after=soon */ x", "after is no time"},
		{"/* id=1,c=a,d=1,d=2,cluster=1 */ x", "twice"},
		{"/* id=,c=a,d=1,cluster=1 */ x", "no name=value"},
		{"/* id=1,c=a,,d=1,cluster=1 */ x", "no name=value"},
	} {
		if _, err := ParseQuery([]byte(c[0])); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, want %q in it", c[0], err, c[1])
		}
	}
}

func TestErrorsAndValues(t *testing.T) {
	_, body, _, _ := ParseMessage(AppendError(nil, "ERROR", TooManyConnections, "text", "250"), MaxQuerySize)
	if SQLState(body) != TooManyConnections || !bytes.Contains(body, []byte("D250\x00")) {
		t.Fatalf("%q", body)
	}
	for _, in := range []string{"", "\x00", "C", "C53300", "M\x00"} {
		if c := SQLState([]byte(in)); c != "" {
			t.Errorf("SQLState(%q) is %q", in, c)
		}
	}
	if v, ok := ColumnValue([]byte("\x00\x01\x00\x00\x00\x02ab")); !ok || string(v) != "ab" {
		t.Fatalf("%q %v", v, ok)
	}
	for _, in := range []string{"", "\x00\x02\x00\x00\x00\x02ab", "\x00\x01\xff\xff\xff\xff", "\x00\x01\x00\x00\x00\x03ab",
		"\x00\x01\x00\x02\x00\x00"} {
		if _, ok := ColumnValue([]byte(in)); ok {
			t.Errorf("ColumnValue accepts %q", in)
		}
	}
}

// TestFatalErrors checks which errors tell that the server ends the connection, also where the severity is translated.
func TestFatalErrors(t *testing.T) {
	for in, fatal := range map[string]bool{
		"SFATAL\x00VFATAL\x00C57P01\x00": true, "SPANIC\x00C53300\x00": true, "SSCHWERWIEGEND\x00VFATAL\x00": true,
		"SFATAL\x00VERROR\x00": false, "SERROR\x00VERROR\x00C53300\x00": false, "CFATAL\x00": false, "VFATAL": false, "": false,
	} {
		if Fatal([]byte(in)) != fatal {
			t.Errorf("%q: fatal %v", in, !fatal)
		}
	}
}

// FuzzParsers: no input makes a parser panic or read past its end, and a rewritten query has the same metadata except for the
// remaining time.
func FuzzParsers(f *testing.F) {
	f.Add([]byte(sampleQuery))
	f.Add(AppendError(nil, "FATAL", ReadOnlyTransaction, "m", ""))
	f.Add(AppendStartup(nil, "web", "orders"))
	f.Add([]byte("/* id=1,c=a,d=1,cluster=1 */ '"))
	f.Add([]byte("/* id=d,c=d=1,d=1,cluster=1 */ 'a'"))
	f.Add([]byte("\x00\x01\x00\x00\x00\x02ab"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if _, body, n, err := ParseMessage(in, MaxQuerySize); err == nil && (n > len(in) || n > 0 && len(body) != n-5) {
			t.Fatalf("message size %d in %d bytes", n, len(in))
		}
		if _, n, err := ParseStartup(in); err == nil && n > len(in) {
			t.Fatalf("startup message size %d in %d bytes", n, len(in))
		}
		SQLState(in)
		ParseString(in)
		ColumnValue(in)
		a, err := ParseQuery(in)
		if err != nil {
			return
		}
		out := a.AppendQuery(nil, in, 9)
		text := out[5 : len(out)-1]
		b, err := ParseQuery(text)
		if err != nil || b.TimeLeft != 90 || !bytes.Equal(a.ID, b.ID) || !bytes.Equal(a.Key, b.Key) ||
			!bytes.Equal(a.Session, b.Session) || a.Group != b.Group || a.ReadAfter != b.ReadAfter {
			t.Fatalf("%q became %q: %v", in, text, err)
		}
	})
}

func TestCommentOfVeryManyFieldsIsRefused(t *testing.T) {
	const head = "/* id=1,c=a,d=1,cluster=1"
	for fields, refused := range map[int]bool{0: false, 20: false, 1000: true, 30_000: true} {
		_, err := ParseQuery([]byte(head + strings.Repeat(",a=1", fields) + " */ x"))
		if refused != (err != nil && strings.Contains(err.Error(), "more than")) {
			t.Errorf("%d fields: %v", fields, err)
		}
	}
}
