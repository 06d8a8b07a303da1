package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/controllog"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// initControl writes the identity of an initial control VM.
func initControl(s *settings.Settings) error { return controllog.Init(s) }

// configure applies the user's configuration through the operator API, and retries until the control group has a leader
// that accepts it. The change has an ID, so that sending it again has no further effect.
func (c *cluster) configure(ctx context.Context, policies Policies) error {
	initialRevision := uint64(0)
	body, err := json.Marshal(operatorapi.ApplyRequest{Base: c.user.configuration(policies), BasedOn: &initialRevision, ChangeID: "demo", Author: "demo"})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		status, text, err := postJSON(ctx, "http://"+c.vms[0].operatorAddr+operatorapi.PathConfig, body)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil && status == http.StatusBadRequest {
			return errs.New(errs.KindInternal, "report this fault", "the configuration of the demo was refused: %s", text)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errs.New(errs.KindUnavailable, "look at the logs in "+c.folder, "the configuration was not accepted within %s: status %d, %s, %v", readyLimit, status, text, err)
		}
	}
}

func postJSON(ctx context.Context, url string, body []byte) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	return res.StatusCode, string(text), err
}
