package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxMessage is the longest message in bytes, as in PROTOCOL.md.
const maxMessage = 1 << 20

// Behaviour of members, as on the sheet of a small deployment.
const (
	replicaLag     = 20 * time.Millisecond
	promotionDelay = time.Second
	statementTime  = 2 * time.Millisecond
	maxConns       = 22
)

// readLine reads one message. A message is terminated by CR LF; a single LF or CR belongs to it.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxMessage {
			return "", fmt.Errorf("message is longer than %d bytes", maxMessage)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return "", err
		}
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
	}
}

// commit is a write in the log.
type commit struct {
	term, number     uint64
	item, data, text string
	id               string
	at               time.Time
}

// execution is a statement that a member ran for a consumer.
type execution struct {
	member, id, text string
	at               time.Time
	// tenant is the name that the connection was opened with.
	tenant string
	// write is set if the statement wrote; shape is the prepared shape that ran, if any.
	write bool
	shape string
	// receipt is the receipt that the member gave, rows are the rows before it.
	receipt string
	rows    []string
}

// group is a database group of one primary and its replicas. One lock guards all its members.
type group struct {
	name string
	rec  *record
	mu   sync.Mutex
	all  []*member
	runs []execution
	// receipts counts the receipts given.
	receipts int
	// quiet leaves the statements out of the record.
	quiet bool
}

// member is one member of a group.
type member struct {
	g        *group
	id, zone string
	listener net.Listener
	primary  bool
	term     uint64
	fenced   uint64
	log      []commit
	conns    int
}

func newGroup(name string, n int, rec *record) (*group, error) {
	g := &group{name: name, rec: rec}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{g: g, id: fmt.Sprintf("i-%s-%d", name, i+1), zone: "zone-a", listener: l, primary: i == 0, term: 3}
		g.all = append(g.all, m)
		go m.accept()
	}
	return g, nil
}

// entry is the member's entry in the store.
func (m *member) entry() map[string]any {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return map[string]any{
		"service": m.g.name, "address": m.listener.Addr().String(), "zone": m.zone, "version": "v1", "slots": 3,
		"state": "ready", "warmup_left_ms": 0, "seq_no": 1, "db_role": role,
	}
}

// register writes the members' entries and routes promotions to the group.
func (g *group) register(s *store) error {
	s.update(func() { s.groups[g.name] = g })
	for _, m := range g.all {
		if err := s.put("servers/"+m.id, m.entry()); err != nil {
			return err
		}
	}
	return nil
}

// ran returns the statements that ran so far.
func (g *group) ran() []execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]execution(nil), g.runs...)
}

// preload puts a value into the log of all members, as a caller that is connected to the primary
// itself does.
func (g *group) preload(item, data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.all {
		if m.primary {
			m.log = append(m.log, commit{term: m.term, number: uint64(len(m.log) + 1), item: item, data: data, id: "another-caller", at: time.Now().Add(-time.Second)})
		}
	}
	g.replicate()
}

// replicate brings the replicas up to date with the primary, apart from the newest commits.
func (g *group) replicate() {
	var p *member
	for _, m := range g.all {
		if m.primary && (p == nil || m.term > p.term) {
			p = m
		}
	}
	if p == nil {
		return
	}
	for _, m := range g.all {
		if m == p || m.fenced != 0 || m.term > p.term {
			continue
		}
		m.term, m.primary = p.term, false
		if len(m.log) > len(p.log) {
			m.log = m.log[:len(p.log)]
		}
		for i, c := range p.log {
			if i < len(m.log) && m.log[i] == c {
				continue
			}
			m.log = m.log[:i]
			if time.Since(c.at) < replicaLag {
				break
			}
			m.log = append(m.log, c)
		}
	}
}

// promote makes the member the primary of the next term after promotionDelay.
func (g *group) promote(id string) bool {
	for _, m := range g.all {
		if m.id != id {
			continue
		}
		time.AfterFunc(promotionDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if m.primary {
				return
			}
			term := uint64(0)
			for _, o := range g.all {
				term, o.fenced = max(term, o.term), 0
			}
			m.primary, m.term = true, term+1
		})
		return true
	}
	return false
}

func (m *member) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(c)
	}
}

// position returns the end of the log.
func (m *member) position() string {
	if len(m.log) == 0 {
		return "3.0"
	}
	last := m.log[len(m.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// prepared is a prepared statement of a connection.
type prepared struct {
	write bool
	shape string
}

// conn is a connection to a member.
type conn struct {
	m        *member
	tenant   string
	state    byte
	readOnly bool
	values   map[string]string
	prepared map[string]prepared
	pending  []commit
}

func (m *member) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != m.g.name || len(f) > 3 && f[3] != m.id {
		_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.id)
		return
	}
	m.g.mu.Lock()
	full := m.conns >= maxConns
	if !full {
		m.conns++
		defer func() { m.g.mu.Lock(); m.conns--; m.g.mu.Unlock() }()
	}
	position := m.position()
	m.g.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", m.id)
		return
	}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", position); err != nil {
		return
	}
	s := &conn{m: m, tenant: f[2], state: 'I', values: map[string]string{}, prepared: map[string]prepared{}}
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, ok := strings.Cut(rest, " ")
		if word != "QUERY" || !ok {
			return
		}
		if _, err := c.Write([]byte(s.query(id, text))); err != nil {
			return
		}
	}
}

// query runs a statement and returns the whole answer.
func (s *conn) query(id, text string) string {
	if id != "-" {
		time.Sleep(statementTime)
	}
	s.m.g.mu.Lock()
	defer s.m.g.mu.Unlock()
	s.m.g.replicate()
	body := s.statement(id, text)
	answer := body + fmt.Sprintf("READY %c %s\r\n", s.state, s.m.position())
	if !s.m.g.quiet && !isRoutine(id, text) {
		s.m.g.rec.note("member %s ran %s %s, answer %s", s.m.id, id, shorten(text), shorten(answer))
	}
	return answer
}

func isRoutine(id, text string) bool { return id == "-" && text == "STATUS" }

const complete = "COMPLETE -\r\n"

// fail returns an error. A failed statement fails its transaction.
func (s *conn) fail(code, text string) string {
	if s.state == 'T' && code != "BUSY" {
		s.state, s.pending = 'E', nil
	}
	return "ERROR " + code + " " + text + "\r\n"
}

func (s *conn) statement(id, text string) string {
	word, rest, _ := strings.Cut(text, " ")
	if word == "SINCE" {
		var since string
		since, rest, _ = strings.Cut(rest, " ")
		if before(s.m.position(), since) {
			return s.fail("LAGGING", s.m.id)
		}
		text = rest
		word, rest, _ = strings.Cut(rest, " ")
	}
	if s.state == 'E' && word != "ROLLBACK" {
		return "ERROR MALFORMED the transaction has failed\r\n"
	}
	switch word {
	case "BEGIN":
		s.readOnly = rest == "READ"
		if !s.readOnly && !s.m.primary {
			return s.fail("READONLY", s.m.id)
		}
		s.state = 'T'
		return complete
	case "COMMIT":
		return s.commit(id, text)
	case "ROLLBACK":
		s.state, s.pending = 'I', nil
		return complete
	case "READ":
		return s.read(id, text, rest, "")
	case "WRITE":
		name, data, _ := strings.Cut(rest, " ")
		return s.write(id, text, name, data, "")
	case "EXECUTE":
		return s.execute(id, text, rest)
	case "SET":
		name, value, ok := strings.Cut(rest, " ")
		if !ok {
			return s.fail("MALFORMED", "SET needs a name and a value")
		}
		s.values[name] = value
		return complete
	case "PREPARE":
		return s.prepare(rest)
	case "DEALLOCATE":
		delete(s.prepared, rest)
		return complete
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return complete
	case "STATUS":
		return s.m.status()
	case "PAUSE":
		if t, err := strconv.ParseUint(rest, 10, 64); err == nil && !s.m.primary && t > s.m.term {
			s.m.fenced = t
		}
		return s.m.status()
	case "RESUME":
		s.m.fenced = 0
		return s.m.status()
	case "STEPDOWN":
		if t, err := strconv.ParseUint(rest, 10, 64); err == nil && s.m.primary && t > s.m.term {
			s.m.primary = false
		}
		return s.m.status()
	}
	return s.fail("MALFORMED", "unknown statement")
}

// prepare parses PREPARE name READ|WRITE shape.
func (s *conn) prepare(rest string) string {
	name, def, _ := strings.Cut(rest, " ")
	mode, shape, _ := strings.Cut(def, " ")
	if name == "" || shape == "" || mode != "READ" && mode != "WRITE" {
		return s.fail("MALFORMED", "PREPARE needs a name, READ or WRITE, and a shape")
	}
	s.prepared[name] = prepared{mode == "WRITE", shape}
	return complete
}

func (s *conn) execute(id, text, rest string) string {
	name, args, _ := strings.Cut(rest, " ")
	p, ok := s.prepared[name]
	if !ok {
		return s.fail("NOSUCHSTMT", name)
	}
	if !p.write {
		return s.read(id, text, args, p.shape)
	}
	key, data, _ := strings.Cut(args, " ")
	return s.write(id, text, key, data, p.shape)
}

func (m *member) status() string {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\n%s", role, m.term, m.position(), m.fenced, m.conns, complete)
}

// finish records a statement that ran and returns its answer.
func (s *conn) finish(r execution) string {
	s.m.g.receipts++
	r.member, r.tenant, r.at = s.m.id, s.tenant, time.Now()
	r.receipt = fmt.Sprintf("r%d.%s.%s", s.m.g.receipts, s.m.id, r.id)
	s.m.g.runs = append(s.m.g.runs, r)
	var b strings.Builder
	for _, row := range r.rows {
		b.WriteString("DATAROW " + row + "\r\n")
	}
	return b.String() + "COMPLETE " + r.receipt + "\r\n"
}

func (s *conn) read(id, text, key, shape string) string {
	if s.state == 'T' && !s.readOnly && !s.m.primary {
		return s.fail("READONLY", s.m.id)
	}
	value := "none"
	for _, c := range s.m.log {
		if c.item == key {
			value = c.data
		}
	}
	return s.finish(execution{id: id, text: text, shape: shape, rows: []string{value}})
}

func (s *conn) write(id, text, key, data, shape string) string {
	if !s.m.primary || s.readOnly && s.state == 'T' {
		return s.fail("READONLY", s.m.id)
	}
	s.pending = append(s.pending, commit{item: key, data: data, text: text, id: id})
	if s.state == 'I' {
		s.apply()
	}
	return s.finish(execution{id: id, text: text, write: true, shape: shape})
}

func (s *conn) apply() {
	for _, c := range s.pending {
		c.term, c.number, c.at = s.m.term, uint64(len(s.m.log)+1), time.Now()
		s.m.log = append(s.m.log, c)
	}
	s.pending = nil
}

func (s *conn) commit(id, text string) string {
	if s.state != 'T' {
		return s.fail("MALFORMED", "no transaction")
	}
	s.state = 'I'
	if !s.m.primary && len(s.pending) > 0 {
		s.pending = nil
		return "ERROR READONLY " + s.m.id + "\r\n"
	}
	s.apply()
	return s.finish(execution{id: id, text: text})
}

// before reports whether the position a is before b.
func before(a, b string) bool {
	at, an, _ := strings.Cut(a, ".")
	bt, bn, _ := strings.Cut(b, ".")
	if at != bt {
		return number(at) < number(bt)
	}
	return number(an) < number(bn)
}

func number(s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
