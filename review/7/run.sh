#!/bin/sh
# Plays case 7; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/stand-2 -program target/cardamomspool -case stray-heartbeat -record review/7/record.txt
