// Package layout plans whole systems on loopback. It chooses names, free ports and
// consistent settings for all hosts, but does not start them.
package layout
