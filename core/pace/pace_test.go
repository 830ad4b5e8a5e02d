package pace_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/pace"
)

func TestPatienceDoublesAndResets(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pace.Patience{Min: time.Second, Max: 5 * time.Second}
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		g.Expect(p.Current()).To(gomega.Equal(want))
		p.GiveUp()
	}
	p.Reset()
	g.Expect(p.Current()).To(gomega.Equal(time.Second))
}

// All targets of a fleet announce themselves in the same seconds.
func TestBatchBoundsUpdatesOfABurst(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, followers := range []int{0, 1, 20, 150} {
		batch := pace.Batch(followers)
		updates := float64(followers) / batch.Seconds()
		g.Expect(updates).To(gomega.BeNumerically("<=", 1334), "%d followers", followers)
		g.Expect(batch).To(gomega.BeNumerically("<=", 250*time.Millisecond))
	}
	g.Expect(pace.Batch(10_000)).To(gomega.Equal(250 * time.Millisecond))
}

// 3,000 targets that announce themselves within a second must not lead to 3,000 lists of
// a thousand targets.
func TestRebuildGrowsWithTheTable(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(pace.Rebuild(36)).To(gomega.Equal(3600 * time.Microsecond))
	g.Expect(pace.Rebuild(3000)).To(gomega.Equal(250 * time.Millisecond))
}
