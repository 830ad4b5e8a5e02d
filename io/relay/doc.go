// Package relay forwards TCP connections between the processes of a test, and delays, blocks or
// resets them, or cuts off those that come from one source. The tests are in io/soak.
package relay
