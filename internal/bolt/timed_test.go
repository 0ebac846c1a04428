package bolt

import "testing"

// TestAppendWithTimeout: a RUN or BEGIN is forwarded with another timeout and all else unchanged.
func TestAppendWithTimeout(t *testing.T) {
	for _, body := range [][]byte{runMessage("RETURN 1", appendTestExtra), appendTestExtra(AppendStruct(nil, byte(BeginTx), 1)),
		runMessage("RETURN 1", func(b []byte) []byte { return AppendMap(b, 0) })} {
		r, err := ReadRequest(body)
		if err != nil {
			t.Fatal(err)
		}
		rd := Reader{MaxSize: 1 << 16}
		out, n, err := rd.Next(r.AppendWithTimeout(nil, 77))
		if err != nil || n == 0 {
			t.Fatal(n, err)
		}
		again, err := ReadRequest(out)
		if err != nil || again.Extra.Timeout != 77 || string(again.Query) != string(r.Query) || string(again.Extra.Metadata) != string(r.Extra.Metadata) ||
			string(again.Extra.Bookmarks) != string(r.Extra.Bookmarks) || again.Extra.ReadOnly != r.Extra.ReadOnly {
			t.Errorf("%+v, %v", again, err)
		}
	}
}
