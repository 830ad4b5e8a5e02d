package entry

import (
	"time"

	"cardamomspool/core/member"
	"cardamomspool/io/signs"
)

// targetSigns names what a call needs of what this host has learnt from targets.
type targetSigns interface {
	// ObserveRest and RestLeft are those of signs.Rests.
	ObserveRest(target member.Key, rest time.Duration, now time.Time)
	RestLeft(target member.Key, now time.Time) time.Duration
}

var _ targetSigns = (*signs.Signs)(nil)
