package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"micatrack/internal/configuration"
)

// maxCompared bounds the lines of one text times those of the other; above it the whole text is shown as
// changed.
const maxComparedPairs = 4 << 20

// printDiff prints which lines differ, scope by scope.
func printDiff(out io.Writer, old, new []configuration.ScopeText) {
	var scopes []string
	for _, t := range slices.Concat(old, new) {
		scopes = append(scopes, t.Scope)
	}
	slices.Sort(scopes)
	for _, scope := range slices.Compact(scopes) {
		before, _ := scopeText(old, scope)
		after, _ := scopeText(new, scope)
		if before == after {
			continue
		}
		fmt.Fprintf(out, "--- %s\n", scope)
		for _, line := range diffLines(lines(before), lines(after)) {
			fmt.Fprintln(out, line)
		}
	}
}

// lines gives a text's lines; JSON in its usual form, so that texts written in another way are alike.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	var indented bytes.Buffer
	if json.Indent(&indented, []byte(text), "", "  ") == nil {
		text = indented.String()
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// diffLines gives the lines that only one of two texts has, by a longest common subsequence.
func diffLines(old, new []string) (changed []string) {
	common := commonLengths(old, new)
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		switch {
		case common != nil && i < len(old) && j < len(new) && old[i] == new[j]:
			i++
			j++
		case i < len(old) && (j == len(new) || common == nil || common[i+1][j] >= common[i][j+1]):
			changed = append(changed, "-"+old[i])
			i++
		default:
			changed = append(changed, "+"+new[j])
			j++
		}
	}
	return changed
}

// commonLengths gives how many lines the rests of two texts have in common, from each pair of lines on; nil:
// too many.
func commonLengths(old, new []string) [][]int32 {
	if len(old)*len(new) > maxComparedPairs {
		return nil
	}
	lengths := make([][]int32, len(old)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(new)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(new) - 1; j >= 0; j-- {
			if old[i] == new[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
