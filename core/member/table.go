package member

import "time"

// table holds the targets in columns; equal indexes belong to the same target and
// form its row. The zero value is an empty table.
type table struct {
	records []Record
	// hashes are the hashes of the records.
	hashes []uint64
	// lastAnnounced is when the target last announced itself to this entry
	// host.
	lastAnnounced []time.Time
	// leaseEnd is when the lease ends, if this entry host owns it.
	leaseEnd []time.Time
	// suspectSince is when the target became suspect; zero if it is not.
	suspectSince []time.Time
	// lastAnswered and lastFailed are the times of the last response and the
	// last failure of this host's own calls.
	lastAnswered []time.Time
	lastFailed   []time.Time
	// unusable reports whether the target is suspect and gets no more calls.
	unusable []bool
	// expiresAt is when the row of a departed target, or of one whose lease
	// has expired, is removed; zero for others.
	expiresAt []time.Time

	// index maps each key to its row.
	index map[Key]int
	// bucketHashes and hash combine the hashes of the records in each bucket
	// and in the table by exclusive or.
	bucketHashes [DigestBuckets]uint64
	hash         uint64
}

// DigestBuckets is the number of buckets of a digest, one bit each in
// Repair.Mask.
const DigestBuckets = 64

// find returns the row of a target and whether the target is in the table.
func (t *table) find(k Key) (int, bool) {
	i, ok := t.index[k]
	return i, ok
}

// add appends a row for a new target and returns its index.
func (t *table) add(r Record, now time.Time) int {
	if t.index == nil {
		t.index = make(map[Key]int)
	}
	i := len(t.records)
	t.index[r.Key] = i
	t.records = append(t.records, r)
	t.hashes = append(t.hashes, r.hash())
	t.lastAnnounced = append(t.lastAnnounced, time.Time{})
	t.leaseEnd = append(t.leaseEnd, now.Add(initialLease))
	t.suspectSince = append(t.suspectSince, time.Time{})
	t.lastAnswered = append(t.lastAnswered, time.Time{})
	t.lastFailed = append(t.lastFailed, time.Time{})
	t.unusable = append(t.unusable, false)
	t.expiresAt = append(t.expiresAt, time.Time{})
	t.xorHash(r.Key, t.hashes[i])
	return i
}

// set replaces the record of row i; the key must not change.
func (t *table) set(i int, r Record) {
	t.xorHash(r.Key, t.hashes[i])
	t.records[i] = r
	t.hashes[i] = r.hash()
	t.xorHash(r.Key, t.hashes[i])
}

// remove removes row i and moves the last row to its index.
func (t *table) remove(i int) {
	t.xorHash(t.records[i].Key, t.hashes[i])
	delete(t.index, t.records[i].Key)
	last := len(t.records) - 1
	if i != last {
		t.index[t.records[last].Key] = i
	}
	t.records = swapRemove(t.records, i)
	t.hashes = swapRemove(t.hashes, i)
	t.lastAnnounced = swapRemove(t.lastAnnounced, i)
	t.leaseEnd = swapRemove(t.leaseEnd, i)
	t.suspectSince = swapRemove(t.suspectSince, i)
	t.lastAnswered = swapRemove(t.lastAnswered, i)
	t.lastFailed = swapRemove(t.lastFailed, i)
	t.unusable = swapRemove(t.unusable, i)
	t.expiresAt = swapRemove(t.expiresAt, i)
}

// swapRemove replaces the value at i by the last one and shortens the column.
func swapRemove[T any](column []T, i int) []T {
	last := len(column) - 1
	column[i] = column[last]
	return column[:last]
}

// xorHash adds the hash of the record with key k to the hashes of its bucket and of
// the table, or removes it if it was added before.
func (t *table) xorHash(k Key, sum uint64) {
	t.bucketHashes[k.bucket()] ^= sum
	t.hash ^= sum
}

// inBuckets appends the records of the buckets in mask to dst and returns it.
func (t *table) inBuckets(dst []Record, mask uint64) []Record {
	for i := range t.records {
		if mask&(1<<t.records[i].bucket()) != 0 {
			dst = append(dst, t.records[i])
		}
	}
	return dst
}
