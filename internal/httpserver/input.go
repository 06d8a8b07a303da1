package httpserver

import (
	"bytes"
	"math"
)

// input follows the bytes that net/http has read from a connection, to know whether it holds another request behind the current one.
type input struct {
	header headerScan
	// headerEnded is set once the whole header of the current request was read.
	headerEnded bool
	// isChunked is set if the body consists of chunks, which chunks follows until chunksEnded. bodyLeft is how many bytes of another
	// body were not read.
	isChunked, chunksEnded bool
	chunks                 chunkScan
	bodyLeft               int64
	// behind holds what was read behind the request, and behind its header until its handler starts. It is no more than net/http
	// holds in its buffer, and one byte with which it notices that the caller disconnects.
	behind []byte
}

// add adds bytes that were read.
func (in *input) add(p []byte) {
	if !in.headerEnded {
		end := in.header.end(p)
		if end < 0 {
			return
		}
		in.headerEnded, p = true, p[end:]
	}
	if p = in.skipBody(p); len(p) > 0 {
		in.behind = append(in.behind, p...)
	}
}

// skipBody takes the bytes of the body off the next bytes that were read.
func (in *input) skipBody(p []byte) []byte {
	if !in.isChunked {
		n := min(in.bodyLeft, int64(len(p)))
		in.bodyLeft -= n
		return p[n:]
	}
	if in.chunksEnded {
		return p
	}
	end := in.chunks.end(p)
	if end < 0 {
		return nil
	}
	in.chunksEnded = true
	return p[end:]
}

// beginBody follows the start of a handler. A negative length states that the body consists of chunks.
func (in *input) beginBody(length int64) {
	in.isChunked, in.bodyLeft = length < 0, max(length, 0)
	in.behind = in.skipBody(in.behind)
}

// next follows the end of a response.
func (in *input) next() {
	behind := in.behind
	*in = input{}
	in.add(behind)
}

// bodyEnded reports whether all of the current request was read.
func (in *input) bodyEnded() bool {
	if in.isChunked {
		return in.chunksEnded
	}
	return in.bodyLeft == 0
}

// holdsRequest reports whether the whole header of another request was read.
func (in *input) holdsRequest() bool {
	behind := bytes.TrimLeft(in.behind, "\r\n")
	var header headerScan
	return in.bodyEnded() && len(behind) > 0 && isTokenChar(behind[0]) && header.end(behind) >= 0
}

// headerScan finds the end of a header in the pieces in which it is read. Empty lines before the header belong to it.
type headerScan struct {
	hasText, lineHasText bool
}

// end returns the index in the next piece behind the header, or -1 if the header does not end there.
func (h *headerScan) end(p []byte) int {
	for at := 0; at < len(p); {
		line, isWhole := nextLine(p[at:])
		h.lineHasText = h.lineHasText || len(bytes.TrimRight(line, "\r")) > 0
		if !isWhole {
			return -1
		}
		at += len(line) + 1
		if h.hasText && !h.lineHasText {
			return at
		}
		h.hasText, h.lineHasText = h.hasText || h.lineHasText, false
	}
	return -1
}

// chunkScan finds the end of a body that consists of chunks (RFC 9112, section 7.1) in the pieces in which it is read.
type chunkScan struct {
	// dataLeft is how many bytes of the current chunk, with its line end, were not read.
	dataLeft int64
	// size is that of the line that is being read, up to sizeEnded. lineHasText and inTrailers concern the lines behind the last chunk.
	size                               int64
	sizeEnded, lineHasText, inTrailers bool
}

// end returns the index in the next piece behind the body, or -1 if the body does not end there.
func (s *chunkScan) end(p []byte) int {
	for at := 0; at < len(p); {
		if n := min(s.dataLeft, int64(len(p)-at)); n > 0 {
			s.dataLeft -= n
			at += int(n)
			continue
		}
		line, isWhole := nextLine(p[at:])
		s.addLine(line)
		if !isWhole {
			return -1
		}
		at += len(line) + 1
		switch {
		case s.inTrailers && !s.lineHasText:
			return at
		case s.inTrailers:
		case s.size == 0:
			s.inTrailers = true
		default:
			s.dataLeft = s.size + int64(len("\r\n"))
		}
		s.size, s.sizeEnded, s.lineHasText = 0, false, false
	}
	return -1
}

// addLine adds a piece of a line.
func (s *chunkScan) addLine(piece []byte) {
	s.lineHasText = s.lineHasText || len(bytes.TrimRight(piece, "\r")) > 0
	for _, b := range piece {
		digit := bytes.IndexByte([]byte("0123456789abcdef"), b|0x20)
		if s.sizeEnded = s.sizeEnded || digit < 0 || s.size > math.MaxInt32<<8; s.sizeEnded {
			return // net/http refuses larger sizes than a request may have.
		}
		s.size = s.size<<4 | int64(digit)
	}
}

// nextLine returns the bytes up to the next line end, or all of them if there is none.
func nextLine(p []byte) (line []byte, isWhole bool) {
	line, _, isWhole = bytes.Cut(p, []byte("\n"))
	return line, isWhole
}
