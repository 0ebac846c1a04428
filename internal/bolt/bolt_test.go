package bolt

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

func proposals(vs ...Version) []byte {
	b := binary.BigEndian.AppendUint32(nil, Magic)
	for i := range 4 {
		v := Version(0)
		if i < len(vs) {
			v = vs[i]
		}
		b = AppendVersion(b, v)
	}
	return b
}

func TestHandshake(t *testing.T) {
	for _, c := range []struct {
		in   []byte
		want Version
	}{
		{proposals(MakeVersion(5, 4)), MakeVersion(5, 4)},
		{proposals(MakeVersion(5, 4)|4<<16, MakeVersion(4, 4)), MakeVersion(5, 4)},
		{proposals(MakeVersion(5, 99) | 95<<16), MakeVersion(5, 8)},
		{proposals(MakeVersion(6, 0), MakeVersion(4, 4)|2<<16, MakeVersion(3, 0)), MakeVersion(4, 4)},
		{proposals(Manifest, MakeVersion(5, 4)), Manifest},
		{proposals(MakeVersion(4, 1), MakeVersion(3, 0)), 0},
	} {
		for n := range 20 {
			if _, size, err := Handshake(c.in[:n]); size != 0 || err != nil {
				t.Errorf("%x: accepted with %d bytes, %v", c.in, n, err)
			}
		}
		if v, size, err := Handshake(append(c.in, 1)); v != c.want || size != 20 || err != nil {
			t.Errorf("%x: %x, %d, %v", c.in, v, size, err)
		}
	}
	for _, in := range []string{"G", "GET / HTTP/1.1\r\n\r\n", "\x60\x60\xb0\x16"} {
		if _, _, err := Handshake([]byte(in)); err == nil {
			t.Errorf("%q was accepted", in)
		}
	}
	if v, n, err := ReadChosenVersion(append(AppendVersion(nil, MakeVersion(5, 7)), 0)); v != MakeVersion(5, 7) || n != 5 || err != nil {
		t.Errorf("chosen: %x %d %v", v, n, err)
	}
	for _, bad := range [][]byte{append(AppendVersion(nil, MakeVersion(5, 9)), 0), append(AppendVersion(nil, MakeVersion(5, 7)), 1)} {
		if _, _, err := ReadChosenVersion(bad); err == nil {
			t.Errorf("%x was accepted", bad)
		}
	}
	if m := AppendManifest(nil); !bytes.Equal(m, []byte{0, 0, 1, 0xff, 2, 0, 8, 8, 5, 0, 0, 4, 4, 0}) {
		t.Errorf("manifest %x", m)
	}
}

// TestChunks checks that a message is read the same for any division into chunks and into reads, and that sizes above the
// bound are rejected.
func TestChunks(t *testing.T) {
	body := []byte(strings.Repeat("0123456789", 20_000))
	for _, n := range []int{1, 65534, 65535, 65536, 131070, 131071, 200_000} {
		whole := AppendRaw([]byte("before"), body[:n])[6:]
		r := Reader{MaxSize: 1 << 20}
		if got, size, err := r.Next(append(whole, 9)); !bytes.Equal(got, body[:n]) || size != len(whole) || err != nil {
			t.Errorf("%d bytes: %d, size %d of %d, %v", n, len(got), size, len(whole), err)
		}
	}
	var ones []byte
	for _, b := range body[:1000] {
		ones = append(ones, 0, 1, b)
	}
	ones = append(ones, 0, 0)
	r := Reader{MaxSize: len(ones)}
	for n := range len(ones) {
		if _, size, err := r.Next(ones[:n]); size != 0 || err != nil {
			t.Fatalf("at %d: %d, %v", n, size, err)
		}
	}
	if got, size, err := r.Next(ones); !bytes.Equal(got, body[:1000]) || size != len(ones) || err != nil {
		t.Errorf("chunks of one byte: %d bytes, %v", len(got), err)
	}
	if body, size, err := r.Next([]byte{0, 0, 0, 0}); body != nil || size != 2 || err != nil {
		t.Errorf("empty chunk: %q %d %v", body, size, err)
	}
	if _, _, err := r.Next([]byte{0xff, 0xff}); err == nil {
		t.Error("a message above the size limit was not rejected")
	}
	r = Reader{MaxSize: 1000}
	if _, _, err := r.Next(append(AppendRaw(nil, body[:990])[:992], 0, 11)); err == nil {
		t.Error("a message above the size limit in its second chunk was not rejected")
	}
}

func TestValues(t *testing.T) {
	ints := []int64{0, 1, -1, -16, -17, 127, 128, -128, -129, 32767, 32768, -32769, 1<<31 - 1, 1 << 31, -1 << 31, math.MaxInt64, math.MinInt64}
	var b []byte
	for _, n := range ints {
		b = AppendInt(b, n)
	}
	v := NewDecoder(b)
	for _, n := range ints {
		if got := v.Int(); got != n || v.Err() != nil {
			t.Errorf("%d read as %d, %v", n, got, v.Err())
		}
	}
	for _, n := range []int{0, 15, 16, 255, 256, 65535, 65536} {
		s := bytes.Repeat([]byte{'x'}, n)
		b := AppendBytes(AppendString(nil, s), s)
		v := NewDecoder(append(b, 0xc0))
		if got, raw := v.String(), v.Bytes(); !bytes.Equal(got, s) || !bytes.Equal(raw, s) || v.Kind() != Null {
			t.Errorf("%d bytes: %d, %d, %v", n, len(got), len(raw), v.Err())
		}
	}
	b = AppendMap(nil, 2)
	b = AppendList(AppendString(b, "list"), 3)
	b = AppendFloat(AppendBool(AppendNull(b), true), 1.5)
	b = AppendInt(AppendStruct(AppendString(b, "node"), 'N', 1), 7)
	v = NewDecoder(append(b, 5))
	if got := v.Skip(); !bytes.Equal(got, b) || v.Int() != 5 {
		t.Errorf("skipped %x of %x", got, b)
	}
	v = NewDecoder(b)
	if v.Map() != 2 || string(v.String()) != "list" || v.List() != 3 {
		t.Error("heads of the map, its key and the list were not decoded")
	}
	v.Skip()
	if !v.Bool() || v.Float() != 1.5 || string(v.String()) != "node" {
		t.Error("values after the list were not decoded")
	}
	if tag, n := v.Struct(); tag != 'N' || n != 1 || v.Int() != 7 || v.Kind() != None || v.Err() != nil {
		t.Error("structure was not decoded")
	}
	for _, bad := range []string{"", "\xd2\xff\xff\xff\xff", "\xd6\xff\xff\xff\xff", "\xda\x7f\xff\xff\xff\x01", "\xb5", "\xc4", "\xdf", "\x91", "\xcb\x00", "\x85abcd",
		strings.Repeat("\x91", 100_000), strings.Repeat("\xa1\x81k", 100_000)} {
		v := NewDecoder([]byte(bad))
		if got := v.Skip(); got != nil || v.Err() == nil {
			t.Errorf("%.20q was accepted", bad)
		}
	}
	v = NewDecoder([]byte{1})
	if v.String(); v.Err() == nil || v.Kind() != None {
		t.Error("an integer was decoded as a string")
	}
}

func runMessage(query string, extra func(dst []byte) []byte) []byte {
	b := AppendString(AppendStruct(nil, byte(Run), 3), query)
	return extra(AppendMap(b, 0))
}

func appendTestExtra(dst []byte) []byte {
	dst = AppendMap(dst, 5)
	dst = AppendList(AppendString(dst, "bookmarks"), 3)
	dst = AppendString(dst, AppendBookmark(nil, 3, 500))
	dst = AppendString(dst, AppendBookmark(nil, 4, 900))
	dst = AppendString(dst, AppendBookmark(nil, 3, 700))
	dst = AppendInt(AppendString(dst, "tx_timeout"), 250)
	dst = AppendPair(dst, "mode", "r")
	dst = AppendPair(dst, "db", "3")
	dst = AppendMap(AppendString(dst, "tx_metadata"), 3)
	dst = AppendPair(dst, "c", "basket")
	dst = AppendPair(dst, "t", "acme")
	return AppendBool(AppendString(dst, "r"), true)
}

func TestRequests(t *testing.T) {
	r, err := ReadRequest(runMessage("MATCH (n) RETURN n", appendTestExtra))
	if err != nil || r.Type != Run || string(r.Query) != "MATCH (n) RETURN n" || !r.Extra.ReadOnly || r.Extra.Timeout != 250 {
		t.Fatalf("%+v, %v", r, err)
	}
	got, err := r.Extra.ParseRequest()
	if err != nil || string(got.Class) != "basket" || string(got.Tenant) != "acme" || got.Group != 3 || got.TimeLeft != 2500 || got.ReadAfter != 700 ||
		!got.Retry || !got.HasReadAfter {
		t.Errorf("%+v, %v", got, err)
	}
	for name, extra := range map[string]func(dst []byte) []byte{
		"no class": func(b []byte) []byte { return AppendPair(AppendMap(b, 1), "db", "3") },
		"no time": func(b []byte) []byte {
			return AppendPair(AppendMap(AppendString(AppendMap(b, 1), "tx_metadata"), 1), "c", "x")
		},
		"no group": func(b []byte) []byte {
			return bytes.Replace(appendTestExtra(b), []byte("\x82db\x813"), []byte("\x82db\x81x"), 1)
		},
		"no bookmark": func(b []byte) []byte {
			return bytes.Replace(appendTestExtra(b), []byte("mt1:3:500"), []byte("mt2:3:500"), 1)
		},
		"no position": func(b []byte) []byte {
			return bytes.Replace(appendTestExtra(b), []byte("mt1:3:500"), []byte("mt1:3:-50"), 1)
		},
	} {
		r, err := ReadRequest(runMessage("RETURN 1", extra))
		if _, err2 := r.Extra.ParseRequest(); err != nil || err2 == nil {
			t.Errorf("%s: %v, %v", name, err, err2)
		}
	}
	for what, body := range map[string][]byte{
		"no structure":       {0x01},
		"a response":         {0xb1, 0x70, 0xa0},
		"too few fields":     {0xb1, 0x10, 0x80},
		"trailing bytes":     {0xb0, 0x12, 0x00},
		"n is 0":             {0xb1, 0x3f, 0xa1, 0x81, 'n', 0},
		"mode is x":          runMessage("", func(b []byte) []byte { return AppendPair(AppendMap(b, 1), "mode", "x") }),
		"parameters":         {0xb3, 0x10, 0x80, 0x90, 0xa0},
		"map size too large": {0xb1, 0x11, 0xda, 0x7f, 0xff, 0xff, 0xff},
		"negative time":      runMessage("", func(b []byte) []byte { return AppendInt(AppendString(AppendMap(b, 1), "tx_timeout"), -1) }),
		"empty body":         {},
		"unknown request":    {0xb0, 0x55},
	} {
		if r, err := ReadRequest(body); err == nil {
			t.Errorf("%s is read as %+v", what, r)
		}
	}
}

func TestResponses(t *testing.T) {
	var rd Reader
	rd.MaxSize = 1 << 16
	read := func(b []byte) Response {
		body, size, err := rd.Next(b)
		if err != nil || size != len(b) {
			t.Fatalf("%x: %d, %v", b, size, err)
		}
		a, err := ReadResponse(body)
		if err != nil {
			t.Fatalf("%x: %v", b, err)
		}
		return a
	}
	for _, v := range []Version{MakeVersion(4, 4), MakeVersion(5, 6), MakeVersion(5, 7), MakeVersion(5, 8)} {
		if a := read(AppendFailure(nil, v, NoThreadsAvailable, "come again")); a.Type != Failure || string(a.Code) != NoThreadsAvailable || string(a.Message) != "come again" {
			t.Errorf("%x: %+v", v, a)
		}
	}
	if a := read(AppendSuccess(nil, 1, func(b []byte) []byte { return AppendBool(AppendString(b, "has_more"), true) })); !a.More {
		t.Errorf("%+v", a)
	}
	if a := read(AppendEmpty(nil, Ignored)); a.Type != Ignored {
		t.Errorf("%+v", a)
	}
	for _, bad := range [][]byte{{0xb1, 0x7f, 0xa0}, {0xb1, 0x71, 0x01}, {0xb0, 0x10}, {0xb1, 0x70}, {0xb1, 0x70, 0xa0, 0}} {
		if a, err := ReadResponse(bad); err == nil {
			t.Errorf("%x is read as %+v", bad, a)
		}
	}
	for code, want := range map[string]FailureKind{NotALeader: RejectedBehind, BookmarkTimeout: RejectedBehind, Unavailable: RejectedOverloaded,
		"Neo.TransientError.Transaction.DeadlockDetected": MayHaveRun, "": MayHaveRun} {
		if got := ClassifyFailure([]byte(code)); got != want {
			t.Errorf("%s proves %d, want %d", code, got, want)
		}
	}
}

// TestStates walks through the state machine of the specification.
func TestStates(t *testing.T) {
	type step struct {
		what    MessageType
		ok      bool
		more    bool
		open    int
		carried bool
		ignored bool
		to      State
	}
	for name, c := range map[string]struct {
		v     Version
		steps []step
	}{
		"separate logon": {MakeVersion(5, 4), []step{{Run, true, false, 0, false, false, 0}, {Hello, true, false, 0, true, false, Authentication}, {Logon, true, false, 0, true, false, Ready},
			{Run, true, false, 0, true, false, Streaming}, {BeginTx, true, false, 0, false, false, 0}, {Pull, true, true, 0, true, false, Streaming},
			{Pull, true, false, 0, true, false, Ready}, {Telemetry, true, false, 0, true, false, Ready}, {Logoff, true, false, 0, true, false, Authentication}}},
		"failure": {MakeVersion(4, 4), []step{{Logon, true, false, 0, false, false, 0}, {Hello, true, false, 0, true, false, Ready}, {Run, false, false, 0, true, false, Failed},
			{Pull, true, false, 0, false, true, 0}, {Commit, true, false, 0, false, true, 0}, {Hello, true, false, 0, false, false, 0}, {Reset, true, false, 0, true, false, Ready},
			{Goodbye, true, false, 0, true, false, Defunct}, {Reset, true, false, 0, false, false, 0}}},
		"transaction": {MakeVersion(5, 0), []step{{Hello, true, false, 0, true, false, Ready}, {BeginTx, true, false, 0, true, false, TxReady}, {Run, true, false, 1, true, false, TxStreaming},
			{Run, true, false, 2, true, false, TxStreaming}, {Pull, true, false, 1, true, false, TxStreaming}, {Discard, true, false, 0, true, false, TxReady},
			{Commit, true, false, 0, true, false, Ready}, {Rollback, true, false, 0, false, false, 0}}},
		"no login": {MakeVersion(4, 4), []step{{Hello, false, false, 0, true, false, Defunct}}},
	} {
		s := InitialState(c.v)
		for i, st := range c.steps {
			carried, ignored := s.Accepts(c.v, st.what)
			if carried != st.carried || ignored != st.ignored {
				t.Errorf("%s, step %d: %v in state %d: carried %v, ignored %v", name, i, st.what, s, carried, ignored)
			}
			if carried {
				if s = s.After(st.what, st.ok, st.more, st.open); s != st.to {
					t.Errorf("%s, step %d: state %d after %v, want %d", name, i, s, st.what, st.to)
				}
			}
		}
	}
}

// FuzzParsers checks that no input makes a parser return more than it was given, or return a message differently if it
// arrives byte by byte.
func FuzzParsers(f *testing.F) {
	f.Add(proposals(MakeVersion(5, 4)))
	f.Add(AppendRaw(nil, runMessage("MATCH (n) RETURN n", appendTestExtra)))
	f.Add(AppendFailure(nil, MakeVersion(5, 8), NoThreadsAvailable, "text"))
	f.Add(append([]byte{0, 0, 0, 1, 0xb1}, 0, 2, 0x3f, 0xa0, 0, 0))
	f.Fuzz(func(t *testing.T, in []byte) {
		Handshake(in)
		ReadChosenVersion(in)
		r, again := Reader{MaxSize: 1 << 12}, Reader{MaxSize: 1 << 12}
		for at := 0; at < len(in); {
			body, size, err := r.Next(in[at:])
			if err != nil || size == 0 {
				break
			}
			var piece []byte
			took := 0
			for n := at; n <= len(in) && took == 0; n++ { // Feeds the same bytes one at a time.
				if piece, took, err = again.Next(in[at:n]); err != nil {
					t.Fatalf("in pieces: %v", err)
				}
			}
			if took != size || !bytes.Equal(piece, body) || len(body) > size {
				t.Fatalf("%d bytes of %q, in pieces %d of %q", size, body, took, piece)
			}
			if q, err := ReadRequest(body); err == nil && (q.Type == Run || q.Type == BeginTx) {
				q.Extra.ParseRequest()
			}
			if a, err := ReadResponse(body); err == nil && a.Type == Record && len(a.Fields) > len(body) {
				t.Fatal("a record longer than its message")
			}
			at += size
		}
	})
}

func BenchmarkMessage(b *testing.B) {
	whole := AppendRaw(nil, runMessage("MATCH (n) RETURN n", appendTestExtra))
	r := Reader{MaxSize: 1 << 16}
	b.ReportAllocs()
	for b.Loop() {
		body, _, _ := r.Next(whole)
		q, err := ReadRequest(body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := q.Extra.ParseRequest(); err != nil {
			b.Fatal(err)
		}
	}
}
