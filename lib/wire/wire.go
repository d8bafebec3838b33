// Package wire contains the messages and services for calls between the processes of
// the system. They are defined in wire.proto; gen.sh regenerates the Go code.
package wire
