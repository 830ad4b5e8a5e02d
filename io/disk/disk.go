package disk

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Folder is an open and locked data folder. Use Open.
type Folder struct {
	path     string
	lock     *os.File
	syncs    atomic.Int64
	failures atomic.Int64
}

// A document is stored in a file whose name is the document's name and docSuffix;
// tempSuffix is added to the file's name while it is written. Quarantine replaces
// docSuffix by corruptSuffix.
const (
	docSuffix     = ".doc"
	tempSuffix    = ".tmp"
	corruptSuffix = ".bad"
	lockName      = "lock"
	fileMode      = 0o600
	dirMode       = 0o700
)

var (
	// ErrCorrupt reports a file whose checksum does not match its content, or
	// whose content is not the JSON of the expected type.
	ErrCorrupt = errors.New("disk: file is corrupt")
	// ErrLocked reports a folder that is in use by another process.
	ErrLocked = errors.New("disk: data folder is used by another process")
	// ErrRemoved reports a folder that was removed or replaced while in use.
	ErrRemoved = errors.New("disk: data folder was removed or replaced")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Open creates the folder at path if it is missing, and locks it. It returns
// ErrLocked when the lock cannot be taken, as when another process holds it.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "disk: create folder")
	}
	var (
		lock *os.File
		err  error
	)
	if lock, err = os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return nil, errors.Wrap(err, "disk: open lock file")
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrLocked
	}
	return &Folder{path: path, lock: lock}, nil
}

// Subfolder opens and locks the subfolder called name, and creates it durably if it
// is missing. It fails like Open. The caller must close the subfolder.
func (f *Folder) Subfolder(name string) (*Folder, error) {
	sub, err := Open(filepath.Join(f.path, name))
	if err != nil {
		return nil, err
	}
	if err = f.syncFolder(); err != nil {
		sub.Close()
		return nil, errors.Wrap(err, "disk: sync folder")
	}
	return sub, nil
}

// Check returns ErrRemoved when the folder at its path is no longer the one that was
// opened, or when the lock file in it is missing or cannot be examined.
func (f *Folder) Check() error {
	var (
		opened, found os.FileInfo
		err           error
	)
	if opened, err = f.lock.Stat(); err != nil {
		return errors.Wrap(err, "disk: check folder")
	}
	if found, err = os.Stat(filepath.Join(f.path, lockName)); err != nil || !os.SameFile(opened, found) {
		return ErrRemoved
	}
	return nil
}

// Syncs returns the number of syncs of files and of the folder since Open, including
// those that failed.
func (f *Folder) Syncs() int64 {
	return f.syncs.Load()
}

// Failures returns the number of saves since Open that failed to write to the
// disk.
func (f *Folder) Failures() int64 {
	return f.failures.Load()
}

// Close releases the lock. The folder must not be used afterwards.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// Save writes v as JSON to the document called name, replacing the old content, and
// returns once the file and the folder are synced. The name must be a valid file
// name. Save fails when v cannot be encoded or the disk fails.
func (f *Folder) Save(name string, v any) error {
	var (
		body []byte
		err  error
	)
	if body, err = json.Marshal(v); err != nil {
		return errors.Wrapf(err, "disk: encode %s", name)
	}
	if err = f.replace(name+docSuffix, encode(body)); err != nil {
		f.failures.Add(1)
		return errors.Wrapf(err, "disk: save %s", name)
	}
	return nil
}

// replace atomically replaces the content of the file called name, or creates the
// file, and syncs it and the folder.
func (f *Folder) replace(name string, content []byte) error {
	temporary := filepath.Join(f.path, name+tempSuffix)
	var (
		w   *os.File
		err error
	)
	if w, err = os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode); err != nil {
		return err
	}
	if _, err = w.Write(content); err != nil {
		w.Close()
		return err
	}
	f.syncs.Add(1)
	if err = w.Sync(); err != nil {
		w.Close()
		return err
	}
	if err = w.Close(); err != nil {
		return err
	}
	if err = os.Rename(temporary, filepath.Join(f.path, name)); err != nil {
		return err
	}
	return f.syncFolder()
}

// syncFolder syncs the folder's list of files, so that a created or renamed file
// survives a power failure.
func (f *Folder) syncFolder() error {
	var (
		dir *os.File
		err error
	)
	if dir, err = os.Open(f.path); err != nil {
		return err
	}
	defer dir.Close()
	f.syncs.Add(1)
	return dir.Sync()
}

// Load reads the document called name into v. It returns an error for which
// os.IsNotExist is true when there is no such document, and one that wraps
// ErrCorrupt when the file is corrupt.
func (f *Folder) Load(name string, v any) error {
	var (
		content []byte
		err     error
	)
	if content, err = os.ReadFile(filepath.Join(f.path, name+docSuffix)); err != nil {
		return err
	}
	if err = decode(content, v); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// Quarantine renames the file of the document called name, so that Load and Names
// no longer find the document but an operator can still inspect the file. It fails
// when the file cannot be renamed or the folder cannot be synced.
func (f *Folder) Quarantine(name string) error {
	if err := os.Rename(filepath.Join(f.path, name+docSuffix), filepath.Join(f.path, name+corruptSuffix)); err != nil {
		return errors.Wrap(err, "disk: set aside")
	}
	return errors.Wrap(f.syncFolder(), "disk: sync folder")
}

// encode returns the content of a file: the CRC-32C checksum of body in
// hexadecimal, a line feed and body.
func encode(body []byte) []byte {
	return append(fmt.Appendf(nil, "%08x\n", crc32.Checksum(body, castagnoli)), body...)
}

// decode verifies the content of a file and decodes its body into v. It returns
// ErrCorrupt and sets v to its zero value when the checksum does not match, or when the
// body is not valid JSON or doesn't fit the type of v.
func decode(content []byte, v any) error {
	sum, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok || string(sum) != fmt.Sprintf("%08x", crc32.Checksum(body, castagnoli)) {
		reflect.ValueOf(v).Elem().SetZero()
		return ErrCorrupt
	}
	if err := json.Unmarshal(body, v); err != nil {
		reflect.ValueOf(v).Elem().SetZero() // Fields that were decoded before the error.
		return ErrCorrupt
	}
	return nil
}

// Names returns the names of all documents, in lexical order. It fails when the
// folder cannot be read.
func (f *Folder) Names() ([]string, error) {
	var (
		entries []os.DirEntry
		err     error
	)
	if entries, err = os.ReadDir(f.path); err != nil {
		return nil, errors.Wrap(err, "disk: list folder")
	}
	var names []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), docSuffix); ok {
			names = append(names, name)
		}
	}
	return names, nil
}
