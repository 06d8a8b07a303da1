package cli

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Guards against a malformed answer that is taken for the statement of the VM that a change was certainly not made.
func TestMalformedStatusesLeaveTheOutcomeUnknown(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "799", "999"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 36\r\n\r\n"+`{"kind":"not_accepted","message":""}`) // The other side detects a failure.
		}))
		c := &client{server: s.URL, timeout: 5 * time.Second}
		err := c.callOperatorAPI(context.Background(), http.MethodPost, "/x", nil, struct{}{}, &struct{}{})
		require.Equal(t, errs.KindUnknownOutcome, errs.KindOf(err), status)
		s.Close()
	}
}
