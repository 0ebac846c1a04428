package lease

import (
	"fmt"
)

// quietLogger is the library's logger: what it has to say is told by this package, in a line an event.
type quietLogger struct{}

func (quietLogger) Debug(...any)              {}
func (quietLogger) Debugf(string, ...any)     {}
func (quietLogger) Error(...any)              {}
func (quietLogger) Errorf(string, ...any)     {}
func (quietLogger) Info(...any)               {}
func (quietLogger) Infof(string, ...any)      {}
func (quietLogger) Warning(...any)            {}
func (quietLogger) Warningf(string, ...any)   {}
func (quietLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quietLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
