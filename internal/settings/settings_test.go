package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestFaultySettings replaces each value of the settings by others, one at a time. Read must either accept the
// result or return an error of one line that names the key. A number that is replaced by a
// negative one, or by a value of another type except null, must be refused.
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
		changed, _ := json.Marshal(file.Settings)
		_, _, err := Read(changed)
		return err
	}
	if err := read(func(map[string]any) {}); err != nil {
		t.Fatal(err)
	}
	var walk func(path []string, value any)
	tried := 0
	walk = func(path []string, value any) {
		if object, ok := value.(map[string]any); ok {
			for k, value := range object {
				walk(append(path[:len(path):len(path)], k), value)
			}
			return
		}
		if list, ok := value.([]any); ok && len(list) > 0 {
			for k := range list {
				walk(append(path[:len(path):len(path)], fmt.Sprint(k)), list[k])
			}
		}
		if path[0] == "Report" && len(path) > 1 && path[1] == "Fields" || len(path) == 0 {
			return // not read
		}
		_, number := value.(float64)
		for _, bad := range []any{"odd", -7.0, 1e300, map[string]any{"x": 1}, []any{1}, nil, true, 0.5} {
			tried++
			err := read(func(at map[string]any) {
				var in any = at
				for _, k := range path[:len(path)-1] {
					if object, ok := in.(map[string]any); ok {
						in = object[k]
					} else {
						var n int
						fmt.Sscan(k, &n)
						in = in.([]any)[n]
					}
				}
				last := path[len(path)-1]
				if object, ok := in.(map[string]any); ok {
					object[last] = bad
				} else {
					var n int
					fmt.Sscan(last, &n)
					in.([]any)[n] = bad
				}
			})
			where := strings.Join(path, ".")
			_, sameKind := bad.(float64)
			if number && (!sameKind && bad != nil || bad == -7.0) && err == nil {
				t.Errorf("%s: %v was accepted", where, bad)
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
		t.Errorf("only %d values were tried", tried)
	}
	if err := read(func(s map[string]any) { s["Profiles"] = append(s["Profiles"].([]any)[:2], s["Profiles"].([]any)[0]) }); err == nil {
		t.Error("two classes with one name were accepted")
	}
}
