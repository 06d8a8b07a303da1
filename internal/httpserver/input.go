package httpserver

import "bytes"

// input follows the bytes that net/http has read from a connection, to know whether it holds another request behind the current one.
type input struct {
	header headerScan
	// headerEnded is set once the whole header of the current request was read. isChunked is set if the length of its body is not known
	// in advance, and bodyLeft is how many bytes of its body were not read otherwise.
	headerEnded, isChunked bool
	bodyLeft               int64
	// ahead holds what was read behind the header, and behind the body if its length is known.
	ahead []byte
}

// maxAhead is how many bytes net/http can hold.
const maxAhead = 4<<10 + 1

// lastChunk ends the body of a chunked request without trailers.
const lastChunk = "0\r\n\r\n"

// add adds bytes that were read.
func (in *input) add(p []byte) {
	if !in.headerEnded {
		end := in.header.end(p)
		if end < 0 {
			return
		}
		in.headerEnded, p = true, p[end:]
	}
	body := min(in.bodyLeft, int64(len(p)))
	in.bodyLeft -= body
	if p = p[body:]; len(p) == 0 {
		return
	}
	in.ahead = append(in.ahead, p...)
	if extra := len(in.ahead) - maxAhead; extra > 0 {
		in.ahead = append(in.ahead[:0], in.ahead[extra:]...)
	}
}

// beginBody follows the start of a handler. A negative length is not known.
func (in *input) beginBody(length int64) {
	if in.isChunked = length < 0; in.isChunked {
		return
	}
	n := min(length, int64(len(in.ahead)))
	in.ahead, in.bodyLeft = in.ahead[n:], length-n
}

// next follows the end of a response.
func (in *input) next() {
	held := in.behindBody()
	*in = input{}
	in.add(held)
}

// behindBody returns the bytes behind the current request. The data of a chunk may contain the bytes of a last chunk, so with a chunked
// body the result may begin too early.
func (in *input) behindBody() []byte {
	if !in.isChunked {
		return in.ahead
	}
	_, behind, _ := bytes.Cut(in.ahead, []byte(lastChunk))
	return behind
}

// bodyEnded reports whether all of the current request was read.
func (in *input) bodyEnded() bool {
	if in.isChunked {
		return bytes.Contains(in.ahead, []byte(lastChunk))
	}
	return in.bodyLeft == 0
}

// holdsRequest reports whether the whole header of another request was read.
func (in *input) holdsRequest() bool {
	held := bytes.TrimLeft(in.behindBody(), "\r\n")
	var header headerScan
	return len(held) > 0 && isTokenChar(held[0]) && header.end(held) >= 0
}

// headerScan finds the end of a header in the pieces in which it is read. Empty lines before the header belong to it.
type headerScan struct {
	hasText, lineHasText bool
}

// end returns the index in the next piece behind the header, or -1 if the header does not end there.
func (h *headerScan) end(p []byte) int {
	for at := 0; at < len(p); {
		line := p[at:]
		lineEnd := bytes.IndexByte(line, '\n')
		if lineEnd >= 0 {
			line = line[:lineEnd]
		}
		h.lineHasText = h.lineHasText || len(bytes.TrimRight(line, "\r")) > 0
		if lineEnd < 0 {
			return -1
		}
		at += lineEnd + 1
		if h.hasText && !h.lineHasText {
			return at
		}
		h.hasText, h.lineHasText = h.hasText || h.lineHasText, false
	}
	return -1
}
