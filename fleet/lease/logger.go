package lease

import (
	"fmt"
)

// silentLogger discards the raft library's log lines; this package logs the events that matter, one line each. Fatal
// and Panic panic, and the voter then steps aside.
type silentLogger struct{}

func (silentLogger) Debug(...any)              {}
func (silentLogger) Debugf(string, ...any)     {}
func (silentLogger) Error(...any)              {}
func (silentLogger) Errorf(string, ...any)     {}
func (silentLogger) Info(...any)               {}
func (silentLogger) Infof(string, ...any)      {}
func (silentLogger) Warning(...any)            {}
func (silentLogger) Warningf(string, ...any)   {}
func (silentLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (silentLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
