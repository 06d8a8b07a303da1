// Package statusline checks the beginning of HTTP/1.x status lines. net/http accepts statuses above 599, other versions and more
// than one space before the status.
package statusline

import "github.com/chestnuttiller/chestnuttiller/internal/errs"

// form is the beginning of a status line up to the byte after the status. In it, c is a digit from 1 to 5, d any digit, and e the
// end of the status.
const form = "HTTP/1.d cdde"

// Len is the number of bytes that Check needs at most.
const Len = len(form)

// Check checks the first bytes of a reply, of which more may follow. It reports whether they are enough, and returns an error if they
// do not begin a status line with a status from 100 to 599.
func Check(start []byte) (enough bool, err error) {
	for i, b := range start[:min(len(start), Len)] {
		if !fits(form[i], b) {
			return true, errs.New(errs.KindInvalid, "let the other side answer with HTTP/1.1 and a status from 100 to 599", "a reply has the malformed status line %q", start[:i+1])
		}
	}
	return len(start) >= Len, nil
}

func fits(want, b byte) bool {
	switch want {
	case 'c':
		return b >= '1' && b <= '5'
	case 'd':
		return b >= '0' && b <= '9'
	case 'e':
		return b == ' ' || b == '\r' || b == '\n'
	}
	return b == want
}
