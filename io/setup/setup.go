package setup

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/telem"
)

type (
	// Common holds the settings that every process has.
	Common struct {
		// Host is the unique name of this host.
		Host string `json:"host"`
		// DataCentre is the name of the data centre that this host runs in.
		DataCentre string `json:"data_centre"`
		// LogLevel is debug, info, warn or error.
		LogLevel string `json:"log_level"`
		// AdminAddress is the address at which the host serves metrics,
		// readiness and, on control hosts, the operators' API and the console.
		AdminAddress netip.AddrPort `json:"admin_address"`
		// PeerAddress is the address at which the host accepts connections from
		// the system's other processes.
		PeerAddress netip.AddrPort `json:"peer_address"`
		// Controls lists all control hosts, 1 to MaxControls. It is ignored
		// when Fleet is enabled.
		Controls []Peer `json:"controls"`
		// StopTime is the time from the signal to stop until the process is ended by
		// force, as its supervisor grants it; 0 if it is not known.
		StopTime strict.Duration `json:"stop_time,omitzero"`
		// Fleet replaces the lists of other hosts by seeds when it is enabled.
		Fleet Fleet `json:"fleet"`
	}

	// Peer is another host of the system.
	Peer struct {
		// Host is its name.
		Host string `json:"host"`
		// DataCentre is where it runs.
		DataCentre string `json:"data_centre"`
		// PeerAddress is where it accepts connections.
		PeerAddress netip.AddrPort `json:"peer_address"`
	}

	// Entry holds the settings of an entry host.
	Entry struct {
		Common
		// CallAddress is the address at which the host accepts calls, usually
		// from the load balancer in front of it.
		CallAddress netip.AddrPort `json:"call_address"`
		// AnnounceAddress is the address at which the host accepts the
		// announcements of targets. It must be set unless Fleet is enabled.
		AnnounceAddress netip.AddrPort `json:"announce_address"`
		// Entries lists all entry hosts.
		Entries []Peer `json:"entries"`
		// SourceAddress is the address from which the host connects to targets and
		// carriers; the zero value lets the system choose.
		SourceAddress netip.Addr `json:"source_address"`
		// DataFolder is the path of the folder that keeps the newest documents
		// across restarts. If it is empty, they are not kept.
		DataFolder string `json:"data_folder"`
		// Tick is the interval at which the queued calls of a service are
		// checked for expired waits and available targets.
		Tick strict.Duration `json:"tick"`
		// AnnounceInterval is the interval at which targets are asked to
		// announce themselves. The host asks for a longer one when it owns many
		// targets.
		AnnounceInterval strict.Duration `json:"announce_interval"`
		// DecisionLogOneIn logs one in this many routing decisions; 0 logs
		// none.
		DecisionLogOneIn int `json:"decision_log_one_in"`
		// DrainDelay is how long a stopping host still accepts calls after it
		// reports itself as not ready, so that the load balancer in front of it
		// can notice. It is not used with BalancerCheck.
		DrainDelay strict.Duration `json:"drain_delay"`
		// BalancerCheck is the health check of that load balancer, from which the drain
		// delay is derived.
		BalancerCheck BalancerCheck `json:"balancer_check,omitzero"`
		// StopGrace is the longest duration of a graceful stop, counted from
		// the end of the drain delay. It is not used with StopTime.
		StopGrace strict.Duration `json:"stop_grace"`
		// Callers holds the limits set to callers.
		Callers Callers `json:"callers"`
	}

	// EntryAdmin is an entry host whose targets a control host shows to
	// operators.
	EntryAdmin struct {
		// Host is its name.
		Host string `json:"host"`
		// DataCentre is where it runs.
		DataCentre string `json:"data_centre"`
		// AdminAddress is where it serves the list of its targets.
		AdminAddress netip.AddrPort `json:"admin_address"`
	}

	// Control holds the settings of a control host.
	Control struct {
		Common
		// DataFolder is the path of the folder in which this host stores the
		// documents that the control hosts agree on, and its own state.
		DataFolder string `json:"data_folder"`
		// OperatorTokenFile is the path of the file with the operator token.
		// Without it AdminAddress must be a loopback address.
		OperatorTokenFile string `json:"operator_token_file"`
		// Entries lists the entry hosts whose targets the console and the API
		// show; may be empty. It has no other effect.
		Entries []EntryAdmin `json:"entries"`
		// StopGrace is the longest duration of a graceful stop. It is not used with
		// StopTime.
		StopGrace strict.Duration `json:"stop_grace"`
	}
)

// Bounds of the settings. MaxStopTime bounds DrainDelay, StopGrace and StopTime, which is
// 0 or at least MinStopTime.
const (
	MaxControls         = 7
	MinTick             = time.Millisecond
	MaxTick             = time.Second
	MinAnnounceInterval = 100 * time.Millisecond
	MaxAnnounceInterval = time.Minute
	MinStopTime         = time.Second
	MaxStopTime         = time.Hour
	MaxDecisionLogOneIn = 1_000_000
)

// LoadEntry reads and checks the settings file of an entry host. It fails when the
// file cannot be read, or with an error that lists every fault of the file.
func LoadEntry(path string) (Entry, error) {
	s := DefaultEntry()
	return s, load(path, &s, s.Validate)
}

// DefaultEntry returns the settings of an entry host for fields that the file
// leaves out.
func DefaultEntry() Entry {
	s := Entry{
		Tick:             strict.Duration(10 * time.Millisecond),
		AnnounceInterval: strict.Duration(time.Second),
		DecisionLogOneIn: 1,
		DrainDelay:       strict.Duration(DefaultDrainDelay),
		StopGrace:        strict.Duration(30 * time.Second),
	}
	s.LogLevel = "info"
	return s
}

// LoadControl reads and checks the settings file of a control host. It fails when
// the file cannot be read, or with an error that lists every fault of the file.
func LoadControl(path string) (Control, error) {
	s := DefaultControl()
	return s, load(path, &s, s.Validate)
}

// DefaultControl returns the settings of a control host for fields that the file
// leaves out.
func DefaultControl() Control {
	s := Control{StopGrace: strict.Duration(30 * time.Second)}
	s.LogLevel = "info"
	return s
}

// load decodes the file at path into v, which holds the defaults, and returns the
// faults of the decoding and of validate as one error.
func load(path string, v any, validate func() strict.Faults) error {
	var (
		data []byte
		err  error
	)
	if data, err = os.ReadFile(path); err != nil {
		return errors.Wrap(err, "settings file")
	}
	faults := strict.Decode(data, v)
	if err = append(faults, validate()...).Err(); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	return nil
}

// Validate returns every fault of the settings.
func (s *Entry) Validate() strict.Faults {
	var f strict.Faults
	s.validate(&f)
	checkAddress(&f, "call_address", s.CallAddress)
	if !s.Fleet.Enabled() {
		checkAddress(&f, "announce_address", s.AnnounceAddress)
	}
	checkPeers(&f, "entries", s.Entries)
	f.CheckDurationRange("tick", s.Tick, MinTick, MaxTick)
	f.CheckDurationRange("announce_interval", s.AnnounceInterval, MinAnnounceInterval, MaxAnnounceInterval)
	f.CheckRange("decision_log_one_in", s.DecisionLogOneIn, 0, MaxDecisionLogOneIn)
	s.validateStop(&f)
	s.Callers.validate(&f)
	return f
}

// Validate returns every fault of the settings.
func (s *Control) Validate() strict.Faults {
	var f strict.Faults
	s.validate(&f)
	if s.DataFolder == "" {
		f.Add("data_folder", "must name a folder")
	}
	if s.OperatorTokenFile == "" && s.AdminAddress.IsValid() && !s.AdminAddress.Addr().IsLoopback() {
		f.Add("operator_token_file", "must be set unless admin_address is a loopback address")
	}
	listed := s.Fleet.Enabled()
	for _, p := range s.Controls {
		listed = listed || p.Host == s.Host
	}
	if !listed {
		f.Add("controls", "must list this host, %q", s.Host)
	}
	checkEntryAdmins(&f, s.Entries)
	f.CheckDurationRange("stop_grace", s.StopGrace, 0, MaxStopTime)
	return f
}

// validate adds the faults of the settings to f.
func (c *Common) validate(f *strict.Faults) {
	checkHost(f, "host", c.Host)
	if c.DataCentre == "" {
		f.Add("data_centre", "must be set")
	}
	if _, ok := telem.ParseLevel(c.LogLevel); !ok {
		f.Add("log_level", "is %q, must be one of debug, info, warn, error", c.LogLevel)
	}
	checkAddress(f, "admin_address", c.AdminAddress)
	checkAddress(f, "peer_address", c.PeerAddress)
	if c.StopTime != 0 {
		f.CheckDurationRange("stop_time", c.StopTime, MinStopTime, MaxStopTime)
	}
	c.Fleet.validate(f)
	if c.Fleet.Enabled() {
		return
	}
	f.CheckRange("controls (number of entries)", len(c.Controls), 1, MaxControls)
	checkPeers(f, "controls", c.Controls)
}

// checkAddress adds a fault at path unless a is an IP address with a port.
func checkAddress(f *strict.Faults, path string, a netip.AddrPort) {
	if !a.IsValid() {
		f.Add(path, `must be an IP address with a port, as in "127.0.0.1:8080"`)
	}
}

// checkPeers adds the faults of a list of hosts, which stands at path in the file.
func checkPeers(f *strict.Faults, path string, peers []Peer) {
	seen := make(map[string]bool, len(peers))
	for i, p := range peers {
		at := fmt.Sprintf("%s[%d]", path, i)
		checkHost(f, at+".host", p.Host)
		if seen[p.Host] {
			f.Add(at+".host", "%q is listed twice", p.Host)
		}
		seen[p.Host] = true
		checkAddress(f, at+".peer_address", p.PeerAddress)
	}
}

// checkEntryAdmins adds the faults of a control host's list of entry hosts.
func checkEntryAdmins(f *strict.Faults, entries []EntryAdmin) {
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		at := fmt.Sprintf("entries[%d]", i)
		checkHost(f, at+".host", e.Host)
		if seen[e.Host] {
			f.Add(at+".host", "%q is listed twice", e.Host)
		}
		seen[e.Host] = true
		checkAddress(f, at+".admin_address", e.AdminAddress)
	}
}

// checkHost adds a fault at path unless name is a valid host name.
func checkHost(f *strict.Faults, path, name string) {
	if !spec.ValidName(name) {
		f.Add(path, "is %q, must be 1 to 63 lower-case letters, digits and hyphens, a letter first", name)
	}
}

// ReadToken reads the operator token from the file at path. It returns an empty
// token for an empty path, and an error when the file is empty or cannot be read.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	var (
		data []byte
		err  error
	)
	if data, err = os.ReadFile(path); err != nil {
		return "", errors.Wrap(err, "operator token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Errorf("operator token: file %s is empty", path)
	}
	return token, nil
}
