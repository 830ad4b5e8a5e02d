// Package layout plans whole systems on loopback: it gives every host a name,
// free ports and settings that fit together. Starting them is the caller's.
package layout
