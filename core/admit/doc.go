// Package admit keeps the calls that wait for a target.
//
// The queue is bounded by weight and by the longest wait of its calls; prompt
// calls leave before patient ones, each kind in order of arrival. Refused
// callers are told when to come back, from the rate at which calls leave.
package admit
