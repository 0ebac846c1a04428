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

// maxComparedPairs bounds the product of two texts' line counts. Above it all lines are shown as changed.
const maxComparedPairs = 4 << 20

// printDiff prints the lines that differ between two versions' texts, scope by scope.
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

// lines returns a text's lines. JSON is indented first, so that texts that differ only in white space are equal.
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

// diffLines returns the lines that only one of two texts has, marked - or +, by a longest common subsequence.
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

// commonLengths returns, for each pair of line indices, the length of the longest common subsequence of the two texts'
// remainders. It returns nil if there are more than maxComparedPairs pairs.
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
