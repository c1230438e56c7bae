package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// daemonOptions are the parts of a daemon's settings in which cases differ.
type daemonOptions struct {
	contracts []string
	bounds    map[string]any
}

// smallDeployment are the settings of a small deployment, as on its sheet.
func smallDeployment() daemonOptions {
	return daemonOptions{
		contracts: []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		bounds: map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 7000,
			"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_slack_ms": 250, "outer_ms": 12000,
			"recovery_s": 12, "enforce_fencing": false, "thaw_ms": 300,
		},
	}
}

// memoryMB is the memory limit of a process in a small deployment.
const memoryMB = 284

// daemon is a limpetspand process, which is started again when it ends.
type daemon struct {
	name, settings, log string
	callers, ready      string
	gate                *gate
	rec                 *record
	fields              map[string]any

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	wanted bool
}

// program is the daemon's program with its arguments, as deploy/system.toml names it.
var program = []string{"target/limpetspand", "--platform"}

func newDaemon(dir string, n, port int, s *store, o daemonOptions, rec *record) (*daemon, error) {
	ip := fmt.Sprintf("127.0.0.%d", 11+n)
	d := &daemon{
		name: fmt.Sprintf("edge-%d", n+1), settings: filepath.Join(dir, fmt.Sprintf("settings-%d.json", n+1)),
		log: filepath.Join(dir, fmt.Sprintf("daemon-%d.log", n+1)), rec: rec, wanted: true,
	}
	var err error
	if d.gate, err = s.newGate(); err != nil {
		return nil, err
	}
	if d.callers, err = freeAddr(ip); err != nil {
		return nil, err
	}
	if d.ready, err = freeAddr(ip); err != nil {
		return nil, err
	}
	d.fields = map[string]any{
		"node_name": d.name, "role": "proxy", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": "zone-a",
		"region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen":         map[string]string{"frontend": d.callers, "ready": d.ready},
		"internal_ports": []int{port, port + 15}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4300, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200, "contracts": o.contracts,
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": o.bounds,
		"platform": map[string]any{
			"address": d.gate.addr(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
		"cloud_api": map[string]any{"address": d.gate.addr(), "rate_per_s": 50.0, "duties": []string{"promotion"}, "duties_per_s": 50.0},
	}
	return d, d.writeSettings()
}

func (d *daemon) writeSettings() error {
	data, err := json.Marshal(d.fields)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// freePorts returns the first of 16 ports that are free for the daemons' own use.
func freePorts() (int, error) {
	for range 50 {
		l, err := net.ListenPacket("udp4", "127.0.0.11:0")
		if err != nil {
			return 0, err
		}
		port := l.LocalAddr().(*net.UDPAddr).Port
		_ = l.Close()
		if port < 65000 {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// start runs the process, and runs it again when it ends. Bootstrap is only set the first time.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.wanted {
		return nil
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LIMPETSPAN_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	d.rec.note("%s started as process %d", d.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		d.rec.note("%s ended: %v", d.name, err)
		close(ended)
		d.fields["bootstrap"] = false
		_ = d.writeSettings()
		time.Sleep(200 * time.Millisecond)
		_ = d.start()
	}()
	return nil
}

// end kills the process for good.
func (d *daemon) end() {
	d.mu.Lock()
	d.wanted = false
	ended := d.ended
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
	}
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

var probe = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks as the platform does.
func (d *daemon) isReady() bool {
	resp, err := probe.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
