package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// process is one process of the project.
type process struct {
	name, ip string
	args     []string
	env      []string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// deployment is a small system of the project's own processes on loopback addresses.
type deployment struct {
	folder                   string
	net                      string // The first three numbers of all addresses.
	peer, admin, front, call int
	controls, entries        []*process
	servers                  []*server
	rec                      *recorder
}

// newDeployment writes the settings of the given numbers of control and entry hosts, as the
// templates of the deploy file render them for a small site.
func newDeployment(rec *recorder, controls, entries int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, net: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250)), rec: rec}
	for _, port := range []*int{&d.peer, &d.admin, &d.front, &d.call} {
		if *port, err = freePort(d.ip(1)); err != nil {
			return nil, err
		}
	}
	for i := range controls {
		p, err := d.addControl(i)
		if err != nil {
			return nil, err
		}
		d.controls = append(d.controls, p)
	}
	for i := range entries {
		p, err := d.addEntry(i)
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	return d, nil
}

// freePort returns a port that is free at ip.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (d *deployment) ip(n int) string { return d.net + strconv.Itoa(n) }

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// seeds returns the front addresses of the first three control hosts.
func (d *deployment) seeds() []string {
	return []string{addr(d.ip(1), d.front), addr(d.ip(2), d.front), addr(d.ip(3), d.front)}
}

func (d *deployment) addControl(i int) (*process, error) {
	ip, name := d.ip(i+1), fmt.Sprintf("control-%d", i+1)
	return d.add(name, ip, "control", []string{"GOGC=200", "GOMEMLIMIT=200MiB"}, map[string]any{
		"host": name, "data_centre": "buda-a", "log_level": "info", "admin_address": addr(ip, d.admin),
		"peer_address": addr(ip, d.peer), "data_folder": filepath.Join(d.folder, name+"-data"), "stop_time": "6s",
		"fleet": map[string]any{
			"adapter": "platform", "seeds": d.seeds(), "first_start": true, "front_address": addr(ip, d.front),
			"retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 60, "quota_window": "0s", "quota_overshoot": 0,
			"quota_slack": 0, "warm_overshoot": 0, "warm_slack": 0, "probe_interval": "100ms",
		},
	})
}

func (d *deployment) addEntry(i int) (*process, error) {
	ip, name := d.ip(i+21), fmt.Sprintf("entry-%d", i+1)
	return d.add(name, ip, "entry", []string{"GOGC=30", "GOMEMLIMIT=200MiB"}, map[string]any{
		"host": name, "data_centre": "buda-a", "log_level": "info", "admin_address": addr(ip, d.admin),
		"peer_address": addr(ip, d.peer), "call_address": addr(ip, d.call), "stop_time": "6s",
		"balancer_check": map[string]any{"interval": "1s", "failures": 2}, "callers": map[string]any{"idle_timeout": "90s"},
		"fleet": map[string]any{
			"adapter": "platform", "seeds": d.seeds(), "first_start": true, "front_address": addr(ip, d.front),
			"key_lease": "0ms", "quota_window": "0s", "quota_overshoot": 0, "quota_slack": 0, "warm_overshoot": 0,
			"warm_slack": 0, "link_mbps": 1000.0,
		},
	})
}

// add writes the settings of a process.
func (d *deployment) add(name, ip, role string, env []string, settings map[string]any) (*process, error) {
	path := filepath.Join(d.folder, name+".json")
	if err := writeSettings(path, settings); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	env = append([]string{"PATH=" + os.Getenv("PATH"), "CARDAMOMSPOOL_CONFIG=" + path}, env...)
	return &process{name: name, ip: ip, args: []string{program(), role, "--settings", path}, env: env, log: log}, nil
}

func writeSettings(path string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// start starts all processes.
func (d *deployment) start() error {
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and removes the folder.
func (d *deployment) stop() {
	for _, s := range d.servers {
		s.close()
	}
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		p.kill()
		p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
}

func (p *process) start() error {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = p.env, p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		defer close(exited)
		_ = cmd.Wait() // Killed processes end with an error.
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
	}
}

// program returns the path of the project's program.
func program() string {
	if path := os.Getenv("PROGRAM"); path != "" {
		return path
	}
	return "target/cardamomspool"
}
