// Package faults holds a deterministic simulation test of the packages that make the
// system's decisions. It runs them together in virtual time on a single event queue,
// injects two or three failures at once, and checks the results against simple
// oracles. Each history is determined by its seed. The package has no code outside its
// tests.
package faults
