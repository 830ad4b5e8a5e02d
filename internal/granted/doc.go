// Package granted measures how much of the time the machine lets this process run, for
// tests whose limits are meant for a process that gets the processors that it asks for.
//
// Threads that are ready to run may wait while the machine runs other processes. Granted
// time is the time that has passed without these waits, as the kernel counts them. Waits for
// disks, locks, timers and the network are part of it, and so are those of a process that
// uses all of its processors, so that a slow program exceeds a limit in granted time like one
// in real time. On systems that do not count the waits, granted time is real time.
//
// Source: the Linux kernel's Documentation/scheduler/sched-stats.rst, on
// /proc/PID/task/TID/schedstat.
package granted
