package target

import "bytes"

// Message types of the PostgreSQL protocol, version 3. Frontend and backend
// types overlap.
const (
	// Frontend.
	msgQuery        = 'Q'
	msgParse        = 'P'
	msgBind         = 'B'
	msgExecute      = 'E'
	msgClose        = 'C'
	msgDescribe     = 'D'
	msgSync         = 'S'
	msgFunctionCall = 'F'
	msgTerminate    = 'X'
	msgCopyFail     = 'f'

	// Backend.
	msgReadyForQuery             = 'Z'
	msgErrorResponse             = 'E'
	msgNoticeResponse            = 'N'
	msgNotificationResponse      = 'A'
	msgParameterStatus           = 'S'
	msgCommandComplete           = 'C'
	msgEmptyQueryResponse        = 'I'
	msgPortalSuspended           = 's'
	msgRowDescription            = 'T'
	msgDataRow                   = 'D'
	msgParseComplete             = '1'
	msgBindComplete              = '2'
	msgCloseComplete             = '3'
	msgNoData                    = 'n'
	msgParameterDescription      = 't'
	msgCopyInResponse            = 'G'
	msgCopyOutResponse           = 'H'
	msgCopyData                  = 'd'
	msgCopyDone                  = 'c'
	msgFunctionCallResponse      = 'V'
	closeStatement          byte = 'S'
)

// errorFields are the fields of an ErrorResponse that matter here.
type errorFields struct {
	severity string
	code     string
	message  string
}

// fatal reports whether the member ends the connection with the error.
func (e errorFields) fatal() bool { return e.severity == "FATAL" || e.severity == "PANIC" }

// parseError reads the body of an ErrorResponse.
func parseError(body []byte) errorFields {
	var e errorFields
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		value, rest, found := bytes.Cut(body[1:], []byte{0})
		if !found {
			return e
		}
		switch field {
		case 'V':
			e.severity = string(value)
		case 'S':
			if e.severity == "" {
				e.severity = string(value)
			}
		case 'C':
			e.code = string(value)
		case 'M':
			e.message = string(value)
		}
		body = rest
	}
	return e
}

// cutString cuts a zero-terminated string off b.
func cutString(b []byte) (s, rest []byte, ok bool) { return bytes.Cut(b, []byte{0}) }

// sessionTags are the command tags of statements that change the state of the
// session itself.
var sessionTags = [][]byte{
	[]byte("SET"), []byte("RESET"), []byte("LISTEN"), []byte("UNLISTEN"), []byte("PREPARE"),
	[]byte("DEALLOCATE"), []byte("DISCARD"), []byte("DECLARE CURSOR"), []byte("LOAD"),
}

// changesSession reports whether a command tag (with its closing zero) is one
// of a statement whose effect outlives its transaction in the session.
func changesSession(tag []byte) bool {
	if len(tag) == 0 || !sessionTagStart[tag[0]] {
		return false
	}
	for _, t := range sessionTags {
		if rest, ok := bytes.CutPrefix(tag, t); ok && (len(rest) == 0 || rest[0] == 0 || rest[0] == ' ') {
			return true
		}
	}
	return false
}

// sessionTagStart holds the first letters of sessionTags, for a quick refusal.
var sessionTagStart = [256]bool{'S': true, 'R': true, 'L': true, 'U': true, 'P': true, 'D': true}
