package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// maxBodyBytes limits the body of a change. JSON can double the size of the files.
	maxBodyBytes = 2*config.MaxTotalBytes + 64<<10
	// summaryLines is how many lines of a difference the history keeps.
	summaryLines = 16
)

// changeIDPattern keeps change IDs usable in URLs and on the command line.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// conflictError is the error for a change that is not based on the revision in force, and contains that
// revision.
type conflictError struct {
	error
	revision model.Revision
}

// Unwrap returns the typed error.
func (e *conflictError) Unwrap() error { return e.error }

// parsedChange is a checked request for a change.
type parsedChange struct {
	request operatorapi.ApplyRequest
	files   model.ConfigFiles
	parsed  *model.Config
}

// apply handles a change of the configuration or a dry run of it.
func (m *Module) apply(c echo.Context) error {
	ch, err := readChange(c.Request().Body)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	current, difference, err := m.compare(ctx, ch.parsed)
	if err != nil {
		return notAccepted(err, ch.request.DryRun)
	}
	if ch.request.DryRun {
		return c.JSON(http.StatusOK, operatorapi.ApplyResponse{
			Outcome: "dry_run", Revision: uint64(current), Conflict: uint64(current) != *ch.request.BasedOn, Difference: difference,
		})
	}
	r, err := m.propose(ctx, ch, difference)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, operatorapi.ApplyResponse{
		Outcome: string(r.Outcome), ChangeID: ch.request.ChangeID, Revision: uint64(r.Revision), Repeated: r.Repeated, Difference: difference,
	})
}

func readChange(body io.Reader) (*parsedChange, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "send the whole request", "the request cannot be read")
	}
	if len(data) > maxBodyBytes {
		return nil, errs.New(errs.KindTooLarge, fmt.Sprintf("keep the files below %d bytes in total", config.MaxTotalBytes), "the request is too large")
	}
	ch := &parsedChange{}
	if err := json.Unmarshal(data, &ch.request); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "send one JSON object as in docs/operator-protocol.md", "the request is not valid JSON")
	}
	if ch.request.BasedOn == nil {
		return nil, errs.New(errs.KindInvalid, "add based_on with the revision that the change is based on; 0 for the first configuration", "based_on is missing")
	}
	if !ch.request.DryRun && !changeIDPattern.MatchString(ch.request.ChangeID) {
		return nil, errs.New(errs.KindInvalid, "add change_id with 1 to 64 letters, digits, dots, dashes or underscores", "change_id is missing or malformed")
	}
	ch.files = model.ConfigFiles{Base: ch.request.Base, Overlays: map[model.SiteName]string{}}
	for site, text := range ch.request.Overlays {
		ch.files.Overlays[model.SiteName(site)] = text
	}
	ch.parsed, err = config.Parse(ch.files)
	return ch, err
}

// compare reads the configuration in force and returns its revision and the difference from it to a new one.
func (m *Module) compare(ctx context.Context, next *model.Config) (model.Revision, config.Difference, error) {
	a, err := m.readConfig(ctx, 0)
	if err != nil || !a.Found {
		return 0, config.Diff(nil, next), err
	}
	current, err := config.Parse(a.Files)
	if err != nil {
		// An earlier release accepted files that this release refuses. The change may correct them.
		_ = level.Warn(m.logger).Log("msg", "this release cannot parse the configuration in force; the difference lists all values as new", "revision", a.InForce, "err", err)
		current = nil
	}
	return a.InForce, config.Diff(current, next), nil
}

func (m *Module) readConfig(ctx context.Context, revision model.Revision) (state.ConfigAnswer, error) {
	answer, err := m.read(ctx, state.GetConfig{Revision: revision})
	if err != nil {
		return state.ConfigAnswer{}, err
	}
	a, ok := answer.(state.ConfigAnswer)
	if !ok {
		return a, unexpectedType(answer)
	}
	return a, nil
}

// notAccepted returns the error for a change that was not proposed because the step before it failed. A dry run
// proposes nothing and returns the error of that step.
func notAccepted(err error, dryRun bool) error {
	if dryRun {
		return err
	}
	return errs.Wrap(err, errs.KindNotAccepted, "send the change again once a majority of the control VMs can be reached",
		"the change was not accepted")
}

func (m *Module) propose(ctx context.Context, ch *parsedChange, difference config.Difference) (state.ChangeResult, error) {
	result, err := m.client.Propose(ctx, state.ApplyConfig{
		ChangeID: ch.request.ChangeID, BasedOn: model.Revision(*ch.request.BasedOn), Author: ch.request.Author, Comment: ch.request.Comment,
		Files: ch.files, Summary: difference.Summary(summaryLines),
		Seats: ch.parsed.Seats, SeatLease: ch.parsed.SeatLease, ClaimRetention: ch.parsed.ClaimRetention,
	})
	if errs.KindOf(err) == errs.KindUnknownOutcome {
		return state.ChangeResult{}, errs.Wrap(err, errs.KindUnknownOutcome, "resend with id "+ch.request.ChangeID+"; it is applied at most once", "outcome unknown")
	}
	if err != nil {
		return state.ChangeResult{}, err
	}
	r, ok := result.(state.ChangeResult)
	if !ok {
		return r, unexpectedType(result)
	}
	_ = level.Info(m.logger).Log("msg", "configuration change processed by the control group", "change_id", ch.request.ChangeID, "author", ch.request.Author,
		"based_on", *ch.request.BasedOn, "outcome", r.Outcome, "revision", r.Revision)
	if r.Outcome == state.ChangeConflict {
		return r, &conflictError{r.Err(), r.Revision}
	}
	return r, r.Err()
}

// config returns the files of a revision as operators wrote them.
func (m *Module) config(c echo.Context) error {
	revision, err := numberParam(c, "revision")
	if err != nil {
		return err
	}
	a, err := m.readConfig(c.Request().Context(), model.Revision(revision))
	if err != nil {
		return err
	}
	if !a.Found {
		return errs.New(errs.KindNotFound, "request the revision in force, or a newer one", "the files of revision %d are not kept; revision %d is in force", revision, a.InForce)
	}
	out := operatorapi.ConfigResponse{Revision: uint64(a.Entry.Revision), InForce: uint64(a.InForce), Base: a.Files.Base, Overlays: map[string]string{}}
	for site, text := range a.Files.Overlays {
		out.Overlays[string(site)] = text
	}
	return c.JSON(http.StatusOK, out)
}

// changeOutcome answers with the recorded outcome of a change ID, or with an error if none is recorded.
func (m *Module) changeOutcome(c echo.Context) error {
	id := c.Param("id")
	answer, err := m.read(c.Request().Context(), state.GetChange{ChangeID: id})
	if err != nil {
		return err
	}
	r, ok := answer.(state.ChangeResult)
	if !ok {
		return unexpectedType(answer)
	}
	if r.Outcome == state.ChangeUnknown {
		return r.Err()
	}
	return c.JSON(http.StatusOK, operatorapi.ChangeResponse{ChangeID: id, Outcome: string(r.Outcome), Revision: uint64(r.Revision)})
}

// history lists accepted changes. The query parameters before, a revision, and limit are optional.
func (m *Module) history(c echo.Context) error {
	before, err := numberParam(c, "before")
	if err != nil {
		return err
	}
	limit, err := numberParam(c, "limit")
	if err != nil {
		return err
	}
	answer, err := m.read(c.Request().Context(), state.GetHistory{Before: model.Revision(before), Limit: int(min(limit, 1<<20))})
	if err != nil {
		return err
	}
	a, ok := answer.(state.HistoryAnswer)
	if !ok {
		return unexpectedType(answer)
	}
	out := operatorapi.HistoryResponse{InForce: uint64(a.InForce), Entries: []operatorapi.HistoryEntry{}}
	for _, e := range a.Entries {
		out.Entries = append(out.Entries, operatorapi.HistoryEntry{
			Revision: uint64(e.Revision), BasedOn: uint64(e.BasedOn), ChangeID: e.ChangeID, Author: e.Author, Comment: e.Comment, At: e.At, Summary: e.Summary,
		})
	}
	return c.JSON(http.StatusOK, out)
}

// numberParam reads an optional number of the query string.
func numberParam(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errs.New(errs.KindInvalid, "write a whole number", "parameter %s has the value %q", name, text)
	}
	return n, nil
}

func unexpectedType(answer kernel.StateAnswer) error {
	return errs.New(errs.KindInternal, "run the same release on all VMs", "the control group answered with the unexpected type %T", answer)
}
