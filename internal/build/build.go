package build

import (
	"runtime/debug"
	"sync"
)

const (
	// unknown is the version of a build without information about its source, such as
	// that of a test.
	unknown = "unknown"
	// revisionDigits is the length of an abbreviated revision, as in pseudo-versions of
	// modules.
	revisionDigits = 12
)

// linked is the version that the linker has set, for builds outside a repository:
// -ldflags '-X cardamomspool/internal/build.linked=VERSION'.
var linked string

// Version returns the version of the running program: the one set by the linker, that of its
// module, or else the revision of its source, with "+dirty" if the source was changed.
var Version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	switch {
	case linked != "":
		return linked
	case !ok:
		return unknown
	}
	return versionOf(info)
})

// versionOf implements Version.
func versionOf(info *debug.BuildInfo) string {
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	revision, dirty := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionDigits)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+dirty"
		}
	}
	if revision == "" {
		return unknown
	}
	return revision + dirty
}
