package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// DaemonOptions describe one daemon of a small deployment.
type DaemonOptions struct {
	Name, IP, Zone string
	// Port is the first of the internal ports, the same for all daemons.
	Port int
	// Store and Promotions are the addresses of the platform's store and of its promotion endpoint.
	Store, Promotions string
}

// Daemon is a limpetspand process.
type Daemon struct {
	DaemonOptions
	Frontend, Ready string

	settings, log string
	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
}

// FreePort returns a port from which the given number of ports is probably free on loopback.
func FreePort() (int, error) {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.LocalAddr().(*net.UDPAddr).Port, nil
}

func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// NewDaemon writes the settings file of a daemon into the folder. The bounds are those of the small
// deployments.
func NewDaemon(dir string, o DaemonOptions) (*Daemon, error) {
	d := &Daemon{DaemonOptions: o, settings: filepath.Join(dir, o.Name+".json"), log: filepath.Join(dir, o.Name+".log")}
	var err error
	if d.Frontend, err = freeAddr(o.IP); err != nil {
		return nil, err
	}
	if d.Ready, err = freeAddr(o.IP); err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(map[string]any{
		"node_name": o.Name, "role": "proxy", "machine_class": "edge", "serves": []string{"edge"}, "ip": o.IP, "zone": o.Zone, "region": "region-1",
		"listen":         map[string]any{"frontend": d.Frontend, "ready": d.Ready},
		"internal_ports": []int{o.Port, o.Port + 1}, "seeds": []string{}, "bootstrap": false, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4300, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 7000,
			"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_slack_ms": 250, "outer_ms": 12000, "recovery_s": 12,
			"enforce_fencing": false, "thaw_ms": 300},
		"platform":  map[string]any{"address": o.Store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
		"cloud_api": map[string]any{"address": o.Promotions, "rate_per_s": 50.0, "duties": []string{"promotion"}, "duties_per_s": 50.0},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.settings, data, 0o600)
}

// running holds the daemons that were started and not ended yet.
var running = struct {
	sync.Mutex
	all map[*Daemon]bool
}{all: make(map[*Daemon]bool)}

// EndOnSignal ends all daemons, removes their folders and exits with the code when this process is told
// to stop.
func EndOnSignal(code int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		running.Lock()
		for d := range running.all {
			d.Signal(syscall.SIGKILL)
			_ = os.RemoveAll(filepath.Dir(d.settings))
		}
		os.Exit(code)
	}()
}

// Start runs the process with the command of deploy/system.toml.
func (d *Daemon) Start() error {
	running.Lock()
	defer running.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/limpetspand", "--platform")
	cmd.Env = append(os.Environ(), "LIMPETSPAN_CONFIG="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	running.all[d] = true
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		running.Lock()
		delete(running.all, d)
		running.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends the process a signal.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// Wait waits for the end of the process.
func (d *Daemon) Wait() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Kill ends the process.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.Wait()
}

// AwaitServing waits until a caller can open a session for the database and read an item.
func (d *Daemon) AwaitServing(database string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var last error
	for i := 0; time.Now().Before(deadline); i++ {
		c, err := Open(d.Frontend, database)
		if err == nil {
			var a Answer
			if a, err = c.Query("start."+d.Name+"."+strconv.Itoa(i), "READ none"); err == nil && a.Code == "" {
				c.Close()
				return nil
			}
			if err == nil {
				err = fmt.Errorf("%s %s", a.Code, a.Text)
			}
			c.Close()
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s does not serve: %w", d.Name, last)
}

// Log returns what the process has logged.
func (d *Daemon) Log() []byte {
	data, _ := os.ReadFile(d.log)
	return data
}
