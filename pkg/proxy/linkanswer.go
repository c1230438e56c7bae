package proxy

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"

	"limpetspan/core/pipeline"
	"limpetspan/pkg/resetconn"
	"limpetspan/platform"
)

// On a link with numbered answers, the home sends a line with answerWord and the number of the statement
// on the link before each answer.
const (
	answerWord = "ANSWER "
	moveWord   = "TERMINATE"
)

func appendAnswerNumber(dst []byte, number uint64) []byte {
	dst = append(dst, answerWord...)
	dst = strconv.AppendUint(dst, number, 10)
	return append(dst, "\r\n"...)
}

// parseAnswerNumber returns the number in a line, 0 if there is none.
func parseAnswerNumber(line string) uint64 {
	digits, ok := strings.CutPrefix(line, answerWord)
	number, err := strconv.ParseUint(digits, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return number
}

// beginAnswer begins the answer to the session's next statement.
func (s *session) beginAnswer() {
	s.out = s.out[:0]
	if number, ok := s.answers.Next(); ok {
		s.out = appendAnswerNumber(s.out, number)
	}
}

// readAnswer reads the answer to the oldest statement without one, and a request to move the session that
// may precede it. After an error the link must be closed.
func (l *link) readAnswer(s *session) (platform.Answer, error) {
	if err := l.acceptAnswer(); err != nil {
		s.reportOutOfTurn(l, err)
		return platform.Answer{}, err
	}
	a, err := readAnswer(l.r, l.body)
	if errors.Is(err, platform.ErrTerminate) {
		l.moveRequested = true
		a, err = readAnswer(l.r, a.Body)
	}
	l.body = a.Body
	if err == nil {
		l.requests.Complete()
	}
	return a, err
}

// errEmptyAnswer is the error of a READY that nothing precedes.
var errEmptyAnswer = fmt.Errorf("%w: READY without an answer", platform.ErrMalformed)

// readAnswer reads an answer to a statement.
func readAnswer(r *platform.Reader, body []byte) (platform.Answer, error) {
	a, err := platform.ReadAnswer(r, body)
	if err == nil && a.Empty {
		err = errEmptyAnswer
	}
	return a, err
}

// acceptAnswer reads the number of the next answer, if answers have numbers, and returns an error unless the
// answer belongs to the oldest statement without one.
func (l *link) acceptAnswer() error {
	if !l.requests.Numbered() {
		return l.requests.Accept(0)
	}
	line, err := l.r.ReadMessage()
	if err == nil && line == moveWord {
		l.moveRequested = true
		line, err = l.r.ReadMessage()
	}
	if err != nil {
		return err
	}
	return l.requests.Accept(parseAnswerNumber(line))
}

// checkUnread returns an error if an answer has arrived that no statement awaits.
func (l *link) checkUnread(s *session) error {
	// A link that the home has closed fails when it is used.
	unread, _ := l.peekUnread()
	err := unsolicited(unread)
	s.reportOutOfTurn(l, err)
	return err
}

// unsolicited returns an error if the bytes that have arrived while no statement awaits an answer begin an answer.
// They may be none, or a part of a request to move the session.
func unsolicited(unread []byte) error {
	if n := min(len(unread), len(moveWord)); string(unread[:n]) == moveWord[:n] {
		return nil
	}
	line, _, _ := strings.Cut(string(unread), "\r\n")
	return &pipeline.OutOfTurnError{Received: parseAnswerNumber(line)}
}

// maxPeeked is the number of bytes that tell an answer, its number and a request to move apart.
const maxPeeked = 32

// peekUnread returns the first bytes of what has arrived on the link and was not read, none if nothing has. The error
// is io.EOF if the home has closed the link.
func (l *link) peekUnread() ([]byte, error) {
	if n := l.r.Buffered(); n > 0 {
		return l.r.Peek(min(n, maxPeeked))
	}
	sc, ok := l.c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	b := make([]byte, maxPeeked)
	n, err := resetconn.PeekUnread(raw, b)
	return b[:n], err
}

// reportOutOfTurn counts and logs the error of a link if it is that of an answer out of turn.
func (s *session) reportOutOfTurn(l *link, err error) {
	var e *pipeline.OutOfTurnError
	if !errors.As(err, &e) {
		return
	}
	s.p.stats.linkAnswersOutOfTurn.Add(1)
	s.logDecision("home answered out of turn", "home", l.home, "expected", e.Expected, "received", e.Received)
}
