// Package soak runs real processes of the system under load and injects faults
// from outside, all derived from a seed. Processes are stopped, killed, frozen
// and restarted, and control hosts lose their disks. All connections between
// processes pass through relays, which delay, reset or block them in one
// direction or both. Faults overlap. Meanwhile an operator changes the
// configuration and reads it back.
//
// After the run it compares what callers, targets and the operator observed. It
// reports calls that got another call's answer, calls that ran although they were
// reported as not run, non-idempotent calls that ran twice, calls that were cut
// off without a fault that explains it, and accepted changes that were lost.
//
// Calls carry keys of client accounts, unknown keys or none, and the operator adds and
// withdraws keys. A call without a valid key must not run, nor one with a key whose
// withdrawal was in force at its entry host before the call began; there is no lease, since
// the hosts are no fleet, and so no data centre is evacuated. Targets must see the account and
// no key. One target resets the connections of calls beyond its slots, except in gentle runs.
//
// Fleet does the same for a fleet, without relays: hosts are stopped, killed, frozen and lose
// disks, and all lose power. Keys have leases, one account exceeds its quota, a data centre is
// evacuated and restored, and targets become cold. Upgrade replaces the hosts of a fleet by those
// of another version.
//
// It does not disturb clocks, and disks only by losing them.
//
// The operator is the part of the test that acts as an operator of the load balancer.
// A record file lists the calls that a target has run; a callRecord holds what the
// caller saw of a call. An event is a fault that hits one victim, a process or a
// relay, at a time of the run. An outage of a process lasts from a kill or freeze
// until the process runs again. In reports, faults also means calls and changes that
// the system handled wrongly. A gentle run injects only faults that must not cut off
// calls.
package soak
