package build

import (
	"runtime/debug"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against builds that cannot be told apart while hosts are replaced.
func TestVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	source := []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef0123"}, {Key: "vcs.modified", Value: "true"}}
	g.Expect(versionOf(&debug.BuildInfo{Main: debug.Module{Version: "v1.2.3"}, Settings: source})).To(gomega.Equal("v1.2.3"))
	g.Expect(versionOf(&debug.BuildInfo{Main: debug.Module{Version: "(devel)"}, Settings: source})).To(gomega.Equal("0123456789ab+dirty"))
	g.Expect(versionOf(&debug.BuildInfo{Settings: source[:1]})).To(gomega.Equal("0123456789ab"))
	g.Expect(versionOf(&debug.BuildInfo{})).To(gomega.Equal("unknown"))
}
