//go:build !race

package world

const raced = false
