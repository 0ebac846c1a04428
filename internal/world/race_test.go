//go:build race

package world

const raced = true
