// Package layout plans whole systems on loopback. It chooses names, free ports and
// settings that fit together for all hosts, but does not start them. All hosts are in
// one data centre.
package layout
