package httpserver

import "strings"

// readStage is what net/http reads from a connection.
type readStage int

const (
	// stageHead is a header, on a new connection from its start.
	stageHead readStage = iota
	// stageMessage is the rest of a request, up to the end of its response. The beginning of the next request may be read with it.
	stageMessage
	// stageWait is the first peekSize bytes after a response.
	stageWait
)

// peekSize is how many bytes net/http waits for after a response before it reads a header. It then drops up to as many bytes of
// empty lines.
const peekSize = 4

// recentBytes describes the end of what was read from a connection.
type recentBytes struct {
	// tail holds the last size bytes.
	tail [peekSize]byte
	size int
	// emptyLines is how many CR and LF are at the end.
	emptyLines int
}

func (r *recentBytes) add(p []byte) {
	n := len(p)
	for n > 0 && (p[n-1] == '\r' || p[n-1] == '\n') {
		n--
	}
	if n > 0 {
		r.emptyLines = 0
	}
	r.emptyLines += len(p) - n
	p = p[max(0, len(p)-len(r.tail)):]
	kept := min(r.size, len(r.tail)-len(p))
	copy(r.tail[:], r.tail[r.size-kept:r.size])
	r.size = kept + copy(r.tail[kept:], p)
}

// last returns the last n bytes, or fewer if they are not known.
func (r *recentBytes) last(n int) []byte { return r.tail[max(0, r.size-n):r.size] }

// areEmptyLines reports whether net/http, which went on after a wait without a read and now holds some bytes, has got nothing but CR
// and LF. It got at least peekSize bytes, and may have dropped as many. With fewer at the end, they may belong to a header.
func (r *recentBytes) areEmptyLines(held int) bool {
	return r.emptyLines >= held+peekSize || held >= peekSize && r.emptyLines >= held
}

// isTokenChar reports whether a method may contain a byte (RFC 9110, section 5.6.2). Each request begins with its method, after
// empty lines that do not belong to it (RFC 9112, sections 2.2 and 3).
func isTokenChar(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
