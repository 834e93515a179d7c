package quorum

import "fmt"

// logger discards the log lines of the raft library. Its fatal errors become panics, which Replica.catchPanic recovers.
type logger struct{}

func (logger) Debug(...any)            {}
func (logger) Debugf(string, ...any)   {}
func (logger) Info(...any)             {}
func (logger) Infof(string, ...any)    {}
func (logger) Warning(...any)          {}
func (logger) Warningf(string, ...any) {}
func (logger) Error(...any)            {}
func (logger) Errorf(string, ...any)   {}

func (logger) Fatal(all ...any)                 { panic(fmt.Sprint(all...)) }
func (logger) Fatalf(format string, all ...any) { panic(fmt.Sprintf(format, all...)) }
func (logger) Panic(all ...any)                 { panic(fmt.Sprint(all...)) }
func (logger) Panicf(format string, all ...any) { panic(fmt.Sprintf(format, all...)) }
