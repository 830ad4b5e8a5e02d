package entry

import (
	"context"
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/core/member"
	"cardamomspool/core/wire"
	"cardamomspool/io/signs"
)

type (
	// targetSigns names what a call needs of what this host has learnt from targets.
	targetSigns interface {
		// ObserveRest and RestLeft are those of signs.Rests.
		ObserveRest(target member.Key, rest time.Duration, now time.Time)
		RestLeft(target member.Key, now time.Time) time.Duration
		// ObserveLimit is that of signs.Limits.
		ObserveLimit(target member.Key, l wire.Limit) (isNew, isLimit bool)
		// ObserveLeaving and Leaves are those of signs.Leavers.
		ObserveLeaving(target member.Key, incarnation uint64) bool
		Leaves(target member.Key, incarnation uint64) bool
		// ObserveResets, ResetsWhenFull, AddReset and TakeResets are those of signs.Resets.
		ObserveResets(service string, now time.Time) bool
		ResetsWhenFull(service string, now time.Time) bool
		AddReset(service, target string)
		TakeResets(service string) []string
	}

	// lossObserver names what a call needs of signs.Losses.
	lossObserver interface {
		Observe(ctx context.Context, c signs.LostCall)
	}

	// callSuspects names what a call needs of signs.Suspects.
	callSuspects interface {
		Empty() bool
		Knows(head uint64) bool
		Blocked(id crash.ID, now time.Time) (until time.Time, blocked bool)
		Clear(call string, id crash.ID)
	}
)

var (
	_ targetSigns  = (*signs.Signs)(nil)
	_ lossObserver = (*signs.Losses)(nil)
	_ callSuspects = (*signs.Suspects)(nil)
)
