package member

import "time"

// table holds all known targets; equal indexes in its columns belong to one
// target. The zero value is an empty table.
type table struct {
	records []Record
	// sums are the hashes of the records.
	sums []uint64
	// heard is when this entry host last heard the target's announcement.
	heard []time.Time
	// due is when the lease of a target that this entry host vouches for ends.
	due []time.Time
	// suspected is when the target became suspect, zero when it is not.
	suspected []time.Time
	// answered and failed are the latest evidence of this host's own calls.
	answered []time.Time
	failed   []time.Time
	// gone says that the target is suspect and no longer usable.
	gone []bool
	// expiry is when the row of a leaving or lapsed target is dropped.
	expiry []time.Time

	index   map[Key]int
	buckets [Buckets]uint64
	total   uint64
}

// Buckets is the number of buckets of a digest, one bit each in a mask.
const Buckets = 64

func (t *table) find(k Key) (int, bool) {
	i, ok := t.index[k]
	return i, ok
}

func (t *table) add(r Record, now time.Time) int {
	if t.index == nil {
		t.index = make(map[Key]int)
	}
	i := len(t.records)
	t.index[r.Key] = i
	t.records = append(t.records, r)
	t.sums = append(t.sums, r.sum())
	t.heard = append(t.heard, time.Time{})
	t.due = append(t.due, now.Add(unheardLease))
	t.suspected = append(t.suspected, time.Time{})
	t.answered = append(t.answered, time.Time{})
	t.failed = append(t.failed, time.Time{})
	t.gone = append(t.gone, false)
	t.expiry = append(t.expiry, time.Time{})
	t.toggle(r.Key, t.sums[i])
	return i
}

func (t *table) set(i int, r Record) {
	t.toggle(r.Key, t.sums[i])
	t.records[i] = r
	t.sums[i] = r.sum()
	t.toggle(r.Key, t.sums[i])
}

// remove drops row i; the last row takes its place.
func (t *table) remove(i int) {
	t.toggle(t.records[i].Key, t.sums[i])
	delete(t.index, t.records[i].Key)
	last := len(t.records) - 1
	if i != last {
		t.index[t.records[last].Key] = i
	}
	t.records = cut(t.records, i)
	t.sums = cut(t.sums, i)
	t.heard = cut(t.heard, i)
	t.due = cut(t.due, i)
	t.suspected = cut(t.suspected, i)
	t.answered = cut(t.answered, i)
	t.failed = cut(t.failed, i)
	t.gone = cut(t.gone, i)
	t.expiry = cut(t.expiry, i)
}

func cut[T any](column []T, i int) []T {
	last := len(column) - 1
	column[i] = column[last]
	return column[:last]
}

func (t *table) toggle(k Key, sum uint64) {
	t.buckets[k.bucket()] ^= sum
	t.total ^= sum
}

// inBuckets appends the records of the buckets in mask to dst.
func (t *table) inBuckets(dst []Record, mask uint64) []Record {
	for i := range t.records {
		if mask&(1<<t.records[i].bucket()) != 0 {
			dst = append(dst, t.records[i])
		}
	}
	return dst
}
