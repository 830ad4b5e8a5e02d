// Package soak runs a system of real processes under load while it disturbs
// them from outside by a seed: processes are stopped, killed, frozen and
// restarted, control hosts lose their disks, and the connections between any
// two parties, which pass through relays, are delayed, reset or blocked in one
// direction or both. Faults come in series and overlap. An operator changes the
// configuration meanwhile and reads it back.
//
// It then compares what callers, targets and the operator saw. It finds calls
// that got another call's answer, calls told not run that ran, calls that ran
// twice although they may not, calls cut off although no fault that can cut them
// off touched them, and changes that were accepted and then lost.
//
// It does not disturb clocks, nor a disk other than by its loss, and runs the
// project's own interface only, not the platform's.
package soak
