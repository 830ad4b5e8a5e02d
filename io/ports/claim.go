package ports

import (
	"os"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// claims holds the ports that processes have claimed. The byte at the offset of a port is
// locked while the process that has claimed it runs; the file has no content.
type claims struct {
	file *os.File
	mu   sync.Mutex
	own  map[uint16]bool // The claims of this process.
}

// claim claims a port for this process. It returns false if the port is claimed already.
func (c *claims) claim(port uint16) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own[port] {
		return false, nil
	}
	lock := unix.Flock_t{Type: unix.F_WRLCK, Start: int64(port), Len: 1}
	err := unix.FcntlFlock(c.file.Fd(), unix.F_OFD_SETLK, &lock)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES):
		return false, nil
	case err != nil:
		return false, errors.Wrap(err, "ports: claim")
	}
	c.own[port] = true
	return true, nil
}
