package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"limpetspan/pkg/bench/control"
)

// The measurement files.
const (
	fileControl  = "control.json"
	fileStorms   = "control-storms.json"
	fileLatency  = "control-latency.json"
	fileIdle     = "idle.json"
	fileOverhead = "overhead.json"
	fileHome     = "home.json"
	fileFailover = "failover.json"
	fileConfig   = "config.json"
	fileTakeover = "takeover.json"
)

// filePlatform is the part of the page on the users' platform, whose figures come from
// their own bench and are written by hand.
const filePlatform = "platform.md"

var files = []string{fileControl, fileStorms, fileLatency, fileIdle, fileOverhead, fileHome, fileFailover, fileConfig, fileTakeover}

// Measurement is one file.
type Measurement struct {
	File    string
	Command string
	Date    string
	content any
}

// Measurements are the files that exist, by name.
type Measurements struct {
	byFile map[string]*Measurement
	// Control, Storms and Latency are reports of bench control; nil: no file.
	Control, Storms, Latency *control.Report
	// Platform is the part on the users' platform; "": no file.
	Platform string
}

// Load reads the measurement files of a directory.
func Load(dir string) (*Measurements, error) {
	m := &Measurements{byFile: map[string]*Measurement{}}
	for _, name := range files {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		if err := m.add(name, text); err != nil {
			return nil, fmt.Errorf("capacity: %s: %w", name, err)
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, filePlatform))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	m.Platform = string(text)
	return m, nil
}

func (m *Measurements) add(name string, text []byte) error {
	var head struct{ Command, Date string }
	if err := json.Unmarshal(text, &head); err != nil {
		return err
	}
	if head.Command == "" || head.Date == "" {
		return errors.New(`"command" or "date" is missing`)
	}
	file := &Measurement{File: name, Command: head.Command, Date: head.Date}
	if err := json.Unmarshal(text, &file.content); err != nil {
		return err
	}
	m.byFile[name] = file
	switch name {
	case fileControl:
		return json.Unmarshal(text, &m.Control)
	case fileStorms:
		return json.Unmarshal(text, &m.Storms)
	case fileLatency:
		return json.Unmarshal(text, &m.Latency)
	}
	return nil
}

// figure is a number with where it is from.
type figure struct {
	value  float64
	known  bool
	source string
}

func unknown(source string) figure { return figure{source: source} }

func known(v float64, source string) figure { return figure{value: v, known: true, source: source} }

// then computes a figure from another one; unknown stays unknown.
func (f figure) then(compute func(float64) float64) figure {
	if f.known {
		f.value = compute(f.value)
	}
	return f
}

func (f figure) times(k float64) figure { return f.then(func(v float64) float64 { return v * k }) }

// plus adds figures; the sum is known if both are.
func (f figure) plus(o figure) figure {
	sum := figure{value: f.value + o.value, known: f.known && o.known, source: f.source}
	if o.source != f.source {
		sum.source += "; " + o.source
	}
	return sum
}

// largest and smallest find the field anywhere in the file.
func (m *Measurements) largest(file, field string) figure {
	return m.find(file, field, func(a, b float64) bool { return a > b })
}

func (m *Measurements) smallest(file, field string) figure {
	return m.find(file, field, func(a, b float64) bool { return a < b })
}

func (m *Measurements) find(file, field string, better func(a, b float64) bool) figure {
	f := unknown(file)
	measurement := m.byFile[file]
	if measurement == nil {
		return f
	}
	walk(measurement.content, field, func(v float64) {
		if !f.known || better(v, f.value) {
			f.value, f.known = v, true
		}
	})
	return f
}

func walk(node any, field string, found func(float64)) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			if v, ok := child.(float64); ok && key == field {
				found(v)
				continue
			}
			walk(child, field, found)
		}
	case []any:
		for _, child := range node {
			walk(child, field, found)
		}
	}
}
