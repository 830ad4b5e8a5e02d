package disk

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

// Folder is a locked data folder. Use Open.
type Folder struct {
	path string
	lock *os.File
}

const (
	suffix   = ".doc"
	lockName = "lock"
	fileMode = 0o600
	dirMode  = 0o700
)

var (
	// ErrCorrupt reports a file whose checksum does not match its content.
	ErrCorrupt = errors.New("disk: file is corrupt")
	// ErrLocked reports a folder that another process uses.
	ErrLocked = errors.New("disk: data folder is used by another process")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Open makes the folder at path when it is missing and locks it. It returns
// ErrLocked when another process holds the lock.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "disk")
	}
	var (
		lock *os.File
		err  error
	)
	if lock, err = os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return nil, errors.Wrap(err, "disk")
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrLocked
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// Save writes v as JSON under name and returns once it is synced. The name
// must be a valid file name.
func (f *Folder) Save(name string, v any) error {
	var (
		body []byte
		err  error
	)
	if body, err = json.Marshal(v); err != nil {
		return errors.Wrap(err, "disk")
	}
	content := fmt.Appendf(nil, "%08x\n", crc32.Checksum(body, castagnoli))
	if err = f.replace(name+suffix, append(content, body...)); err != nil {
		return errors.Wrapf(err, "disk: save %s", name)
	}
	return nil
}

func (f *Folder) replace(name string, content []byte) error {
	temporary := filepath.Join(f.path, name+".tmp")
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

func (f *Folder) syncFolder() error {
	var (
		dir *os.File
		err error
	)
	if dir, err = os.Open(f.path); err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Load reads the document called name into v. It returns an error for which
// os.IsNotExist is true when there is none, and ErrCorrupt when the file is
// damaged.
func (f *Folder) Load(name string, v any) error {
	var (
		content []byte
		err     error
	)
	if content, err = os.ReadFile(filepath.Join(f.path, name+suffix)); err != nil {
		return err
	}
	sum, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok || string(sum) != fmt.Sprintf("%08x", crc32.Checksum(body, castagnoli)) {
		return errors.Wrap(ErrCorrupt, name)
	}
	if err = json.Unmarshal(body, v); err != nil {
		return errors.Wrap(ErrCorrupt, name)
	}
	return nil
}

// Names returns the names of all documents, in lexical order.
func (f *Folder) Names() ([]string, error) {
	var (
		entries []os.DirEntry
		err     error
	)
	if entries, err = os.ReadDir(f.path); err != nil {
		return nil, errors.Wrap(err, "disk")
	}
	var names []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), suffix); ok {
			names = append(names, name)
		}
	}
	return names, nil
}
