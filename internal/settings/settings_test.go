package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestFaultySettings: whatever stands in place of one value, the settings are taken or refused in one line that names the
// key; of another kind, or below nothing, it is refused.
func TestFaultySettings(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	read := func(set func(at map[string]any)) error {
		var file struct{ Settings map[string]any }
		if err := json.Unmarshal(text, &file); err != nil {
			t.Fatal(err)
		}
		set(file.Settings)
		again, _ := json.Marshal(file.Settings)
		_, _, err := Read(again)
		return err
	}
	if err := read(func(map[string]any) {}); err != nil {
		t.Fatal(err)
	}
	var walk func(path []string, v any)
	tried := 0
	walk = func(path []string, v any) {
		if m, ok := v.(map[string]any); ok {
			for k, v := range m {
				walk(append(path[:len(path):len(path)], k), v)
			}
			return
		}
		if l, ok := v.([]any); ok && len(l) > 0 {
			for k := range l {
				walk(append(path[:len(path):len(path)], fmt.Sprint(k)), l[k])
			}
		}
		if path[0] == "Report" && len(path) > 1 && path[1] == "Fields" || len(path) == 0 {
			return // nobody reads it
		}
		_, number := v.(float64)
		for _, bad := range []any{"odd", -7.0, 1e300, map[string]any{"x": 1}, []any{1}, nil, true, 0.5} {
			tried++
			err := read(func(at map[string]any) {
				var in any = at
				for _, k := range path[:len(path)-1] {
					if m, ok := in.(map[string]any); ok {
						in = m[k]
					} else {
						var n int
						fmt.Sscan(k, &n)
						in = in.([]any)[n]
					}
				}
				last := path[len(path)-1]
				if m, ok := in.(map[string]any); ok {
					m[last] = bad
				} else {
					var n int
					fmt.Sscan(last, &n)
					in.([]any)[n] = bad
				}
			})
			where := strings.Join(path, ".")
			_, alike := bad.(float64)
			if number && (!alike && bad != nil || bad == -7.0) && err == nil {
				t.Errorf("%s may be %v", where, bad)
			}
			key := path[len(path)-1]
			if key[0] <= '9' {
				key = path[len(path)-2]
			}
			if err != nil && (strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), key)) {
				t.Errorf("%s as %v: %v", where, bad, err)
			}
		}
	}
	var file struct{ Settings map[string]any }
	json.Unmarshal(text, &file)
	walk(nil, any(file.Settings))
	if tried < 200 {
		t.Errorf("only %d values tried", tried)
	}
	if err := read(func(s map[string]any) { s["Profiles"] = append(s["Profiles"].([]any)[:2], s["Profiles"].([]any)[0]) }); err == nil {
		t.Error("two classes may have one name")
	}
}
