package ctrl

import (
	"strings"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/io/disk"
)

// Names of the files in a vote folder; the name of the document follows
// votePrefix and learntPrefix.
const (
	identityFile = "self"
	votePrefix   = "vote."
	learntPrefix = "learnt."
)

// fileName returns the name of the file that stores a record.
func fileName(r quorum.Record) string {
	switch r := r.(type) {
	case quorum.Register:
		return votePrefix + r.Name
	case quorum.Learnt:
		return learntPrefix + r.Chosen.Name
	default:
		return identityFile
	}
}

// restore reads a vote folder. Corrupt files are renamed: after a corrupt
// register or identity the host recovers from the other control hosts, and a
// corrupt learnt value is fetched again. restore returns other errors of the
// disk.
func (h *Host) restore(folder *disk.Folder) (quorum.Saved, error) {
	var (
		saved quorum.Saved
		names []string
		err   error
	)
	if names, err = folder.Names(); err != nil {
		return saved, err
	}
	for _, name := range names {
		err = h.restoreFile(folder, name, &saved)
		if errors.Is(err, disk.ErrCorrupt) {
			saved.Damaged = saved.Damaged || !strings.HasPrefix(name, learntPrefix)
			h.log.Error("corrupt file counts as lost and is set aside", "file", name, "error", err)
			h.metrics.Counter("corrupt_files").Add(1)
			err = folder.Quarantine(name)
		}
		if err != nil {
			return saved, err
		}
	}
	if saved.Damaged && saved.Identity != nil {
		// Persist the loss in case this process ends before it has recovered.
		lost := *saved.Identity
		lost.Stage = quorum.StageDamaged
		if err = folder.Save(identityFile, lost); err != nil {
			return saved, err
		}
	}
	h.log.Info("data folder read", "registers", len(saved.Registers), "learnt", len(saved.Learnt), "damaged", saved.Damaged)
	return saved, nil
}

// restoreFile reads one file of a vote folder into saved. It returns an error that
// wraps disk.ErrCorrupt when the file is corrupt or holds another document than
// its name says.
func (h *Host) restoreFile(folder *disk.Folder, name string, saved *quorum.Saved) error {
	switch {
	case name == identityFile:
		var id quorum.Identity
		if err := folder.Load(name, &id); err != nil {
			return err
		}
		saved.Identity = &id
	case strings.HasPrefix(name, votePrefix):
		var r quorum.Register
		if err := folder.Load(name, &r); err != nil {
			return err
		}
		if fileName(r) != name {
			return errors.Wrap(disk.ErrCorrupt, name)
		}
		saved.Registers = append(saved.Registers, r)
	case strings.HasPrefix(name, learntPrefix):
		var l quorum.Learnt
		if err := folder.Load(name, &l); err != nil {
			return err
		}
		if fileName(l) != name {
			return errors.Wrap(disk.ErrCorrupt, name)
		}
		saved.Learnt = append(saved.Learnt, l)
		h.mu.Lock()
		h.learnt[l.Chosen.Name] = l
		h.mu.Unlock()
	}
	return nil
}
