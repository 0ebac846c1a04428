//go:build !race

package config

const raced = false
