package statusline

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a malformed status line that is taken for a reply, and against a valid one that is refused or not recognised before the
// other side sends more.
func TestStatusLinesAreChecked(t *testing.T) {
	for _, valid := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 599 X\r\n", "HTTP/1.1 100\r\n", "HTTP/1.1 404\n", "HTTP/1.1 200 "} {
		for n := range len(valid) {
			enough, err := Check([]byte(valid[:n]))
			require.NoError(t, err, valid[:n])
			require.Equal(t, n >= Len, enough, valid[:n])
		}
	}
	for malformed, at := range map[string]int{
		"HTTP/1.1 600 X": 10, "HTTP/1.1 099 X": 10, "HTTP/1.1  200 OK": 10, "HTTP/1.1 20 OK": 12, "HTTP/1.1 2000 OK": 13, "HTTP/1.1 +20 OK": 10, "HTTP/1.1 200OK": 13,
		"HTTP/1.1\r\n": 9, "HTTP/2.0 200 OK": 6, "HTTP/11 200 OK": 7, "http/1.1 200 OK": 1, "\r\nHTTP/1.1 200 OK": 1, "HTTP/1.1\t200 OK": 9,
	} {
		enough, err := Check([]byte(malformed[:at]))
		require.Error(t, err, malformed)
		require.True(t, enough, malformed)
		_, err = Check([]byte(malformed[:at-1]))
		require.NoError(t, err, malformed)
	}
}
