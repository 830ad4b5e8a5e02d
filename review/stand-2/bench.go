package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

type (
	// bench holds the processes of a run and its record.
	bench struct {
		program string
		folder  string // Settings, logs and data of the processes.
		trouble bool
		base    int // The second and third number of all addresses of the run.
		ports   ports
		seeds   []string
		bounds  bounds
		begin   time.Time

		mu        sync.Mutex
		recordTo  *os.File
		processes map[string]*exec.Cmd
		ended     map[string]chan struct{} // Closed when the process has ended.
		servers   []*server
	}

	// ports are the ports of all hosts of a run, which differ by their addresses.
	ports struct {
		peer, admin, control, front, ready int
	}

	// bounds are those bounds of a deployment that its settings hold.
	bounds struct {
		graceS, revokeMs int
	}
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	firstPort    = 20000
	portRange    = 10000
	hostsPerRun  = 250
	edgeOffset   = 100
	serverOffset = 200
)

// newBench returns a bench that records to the file out.
func newBench(program, out string) (*bench, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err = os.Stat(path); err != nil {
		return nil, err
	}
	b := &bench{
		program: path, trouble: os.Getenv("TROUBLE") != "0", base: 1 + rand.IntN(hostsPerRun), begin: time.Now(),
		bounds: bounds{graceS: 6}, processes: make(map[string]*exec.Cmd), ended: make(map[string]chan struct{}),
	}
	if b.folder, err = os.MkdirTemp("", "stand-2-"); err != nil {
		return nil, err
	}
	if b.recordTo, err = os.Create(out); err != nil {
		return nil, err
	}
	first := firstPort + rand.IntN(portRange)
	b.ports = ports{peer: first, admin: first + 1, control: first + 2, front: first + 3, ready: first + 4}
	b.record("run", "disruption %t", b.trouble)
	return b, nil
}

// record writes a line with the time since the start of the run.
func (b *bench) record(what, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.recordTo, "%8.3f %-10s %s\n", time.Since(b.begin).Seconds(), what, fmt.Sprintf(format, args...))
}

// address returns the loopback address of the host with the given number.
func (b *bench) address(number int) string {
	return fmt.Sprintf("127.0.%d.%d", b.base, number)
}

func (b *bench) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", b.address(i), b.ports.control)
}

func (b *bench) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", b.address(edgeOffset+i), b.ports.front)
}

// startFleet starts control hosts and entry hosts, numbered from 1, for the first time.
func (b *bench) startFleet(controls, entries int) error {
	for i := 1; i <= min(controls, 3); i++ {
		b.seeds = append(b.seeds, b.controlAddress(i))
	}
	for i := 1; i <= controls; i++ {
		if err := b.startControl(i, true); err != nil {
			return err
		}
	}
	for i := 1; i <= entries; i++ {
		if err := b.startEntry(i, true); err != nil {
			return err
		}
	}
	return nil
}

// startControl starts a control host with the settings of the deploy file.
func (b *bench) startControl(i int, first bool) error {
	name, ip := fmt.Sprintf("core-%d", i), b.address(i)
	token := filepath.Join(b.folder, "token")
	if err := os.WriteFile(token, []byte("review"), 0o600); err != nil {
		return err
	}
	return b.start(name, "control", "200", map[string]any{
		"host": name, "data_centre": "zone-a", "log_level": "info", "operator_token_file": token,
		"admin_address": fmt.Sprintf("%s:%d", ip, b.ports.admin), "peer_address": fmt.Sprintf("%s:%d", ip, b.ports.peer),
		"data_folder": filepath.Join(b.folder, "data-"+name), "stop_time": fmt.Sprintf("%ds", b.bounds.graceS),
		"fleet": map[string]any{
			"adapter": "platform", "seeds": b.seeds, "first_start": first, "front_address": b.controlAddress(i),
			"retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 60, "quota_window": "0s", "quota_overshoot": 0,
			"quota_slack": 0, "warm_overshoot": 0, "warm_slack": 0, "probe_interval": "100ms",
		},
	})
}

// startEntry starts an entry host with the settings of the deploy file.
func (b *bench) startEntry(i int, first bool) error {
	name, ip := fmt.Sprintf("edge-%d", i), b.address(edgeOffset+i)
	return b.start(name, "entry", "30", map[string]any{
		"host": name, "data_centre": "zone-a", "log_level": "info",
		"admin_address": fmt.Sprintf("%s:%d", ip, b.ports.admin), "peer_address": fmt.Sprintf("%s:%d", ip, b.ports.peer),
		"call_address": b.frontAddress(i), "stop_time": fmt.Sprintf("%ds", b.bounds.graceS),
		"balancer_check": map[string]any{"interval": "1s", "failures": 2}, "callers": map[string]any{"idle_timeout": "90s"},
		"fleet": map[string]any{
			"adapter": "platform", "seeds": b.seeds, "first_start": first, "front_address": fmt.Sprintf("%s:%d", ip, b.ports.ready),
			"key_lease": fmt.Sprintf("%dms", b.bounds.revokeMs), "quota_window": "0s", "quota_overshoot": 0, "quota_slack": 0,
			"warm_overshoot": 0, "warm_slack": 0, "link_mbps": 1000.0,
		},
	})
}

// start starts a process of the program under test.
func (b *bench) start(name, role, gogc string, settings map[string]any) error {
	path := filepath.Join(b.folder, name+".json")
	text, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(b.program, role, "--settings", path)
	cmd.Env = append(os.Environ(), "GOGC="+gogc, "GOMEMLIMIT=200MiB")
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	b.mu.Lock()
	b.processes[name], b.ended[name] = cmd, ended
	b.mu.Unlock()
	b.record("start", "%s", name)
	go func() {
		state := "ended"
		if waitErr := cmd.Wait(); waitErr != nil {
			state = waitErr.Error()
		}
		b.record("ended", "%s: %s", name, state)
		close(ended)
	}()
	return nil
}

// signal sends a signal to a process.
func (b *bench) signal(name string, s syscall.Signal) error {
	b.mu.Lock()
	cmd := b.processes[name]
	b.mu.Unlock()
	if cmd == nil {
		return errors.New("no process " + name)
	}
	b.record("signal", "%s to %s", s, name)
	return cmd.Process.Signal(s)
}

// kill ends a process with SIGKILL and waits for its end.
func (b *bench) kill(name string) error {
	if err := b.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-b.ended[name]
	return nil
}

// awaitReady waits until an entry host says that it is ready.
func (b *bench) awaitReady(i int) error {
	url := fmt.Sprintf("http://%s:%d/ready", b.address(edgeOffset+i), b.ports.ready)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("edge-%d is not ready", i)
}

// close ends all processes and servers.
func (b *bench) close() {
	for _, s := range b.servers {
		s.stop()
	}
	b.mu.Lock()
	processes, ended := b.processes, b.ended
	b.mu.Unlock()
	for name, cmd := range processes {
		select {
		case <-ended[name]:
			continue
		default:
		}
		// An error says that the process has ended.
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended[name]
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
	_ = b.recordTo.Close()
}

// listen opens a listener at the address of a server.
func (b *bench) listen(number, port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s:%d", b.address(serverOffset+number), port))
}
