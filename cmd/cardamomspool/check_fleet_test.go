package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"cardamomspool/io/setup"
)

// TestFleetScripts runs each script with the settings of a control host of a fleet of its
// own, which the script starts. FRONT is its front address, and CUT an address that ends the
// connection within each answer. Guards against a comparison that passes although the
// version in force was not read.
func TestFleetScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/fleet", Setup: prepareFleetControl, Cmds: map[string]func(*testscript.TestScript, bool, []string){
		"await": func(ts *testscript.TestScript, _ bool, args []string) {
			ts.Check(awaitListener(netip.MustParseAddrPort(args[0])))
		},
		"put": func(ts *testscript.TestScript, _ bool, args []string) {
			ts.Check(putConfiguration(args[0], ts.MkAbs(args[1])))
		},
	}})
}

// prepareFleetControl writes the settings of a control host and sets the variables of a
// script.
func prepareFleetControl(env *testscript.Env) error {
	cfg := setup.DefaultControl()
	cfg.Host, cfg.DataCentre, cfg.DataFolder = "control-1", "test", filepath.Join(env.WorkDir, "data")
	cfg.AdminAddress, cfg.PeerAddress = freeAddress(), freeAddress()
	cfg.Fleet.Adapter, cfg.Fleet.Seeds, cfg.Fleet.FirstStart = setup.AdapterPlatform, []netip.AddrPort{cfg.PeerAddress}, true
	cfg.Fleet.FrontAddress = freeAddress()
	data, err := json.Marshal(&cfg)
	if err != nil {
		return err
	}
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, `{"version":1,`)
	}))
	env.Defer(cut.Close)
	env.Setenv("FRONT", cfg.Fleet.FrontAddress.String())
	env.Setenv("CUT", cut.Listener.Addr().(*net.TCPAddr).String())
	return os.WriteFile(filepath.Join(env.WorkDir, "control.json"), data, 0o600)
}

// putConfiguration sends a configuration to a control host until it is accepted, at most for
// startTimeout: a host that has just started cannot accept one yet.
func putConfiguration(front, path string) error {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(startPollInterval) {
		status, err := tryPut(front, path)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("status %d, error %v", status, err)
		}
	}
}

func tryPut(front, path string) (int, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	r, err := http.NewRequest(http.MethodPut, "http://"+front+"/config", file)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}
