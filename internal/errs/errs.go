// Package errs defines the typed errors of chestnuttiller. Every error has a remedy, so that the reader of
// a log line or an HTTP response knows what to do next.
package errs

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error. Callers branch on the kind, never on the message.
type Kind string

// The kinds of errors. Their strings are part of the HTTP API.
const (
	// KindInvalid reports input that cannot succeed unless it is changed.
	KindInvalid Kind = "invalid"
	// KindNotFound reports a name that is not configured or does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict reports a change that contradicts the current state, for example because another change was made first.
	KindConflict Kind = "conflict"
	// KindNotAccepted reports a change that was certainly not made.
	KindNotAccepted Kind = "not_accepted"
	// KindUnknownOutcome reports a change that may or may not have been made.
	KindUnknownOutcome Kind = "outcome_unknown"
	// KindNotLeader reports that the request has to go to another control VM.
	KindNotLeader Kind = "not_leader"
	// KindUnavailable reports that a required part cannot be reached at present.
	KindUnavailable Kind = "unavailable"
	// KindOverload reports that the request was refused to protect the system.
	KindOverload Kind = "overload"
	// KindTooLarge reports input beyond a size limit.
	KindTooLarge Kind = "too_large"
	// KindDeadline reports that the deadline passed.
	KindDeadline Kind = "deadline"
	// KindShutdown reports that the process is shutting down and does not finish the request.
	KindShutdown Kind = "shutdown"
	// KindCorrupt reports damaged durable state.
	KindCorrupt Kind = "corrupt"
	// KindDiskFull reports that the data folder has no space left.
	KindDiskFull Kind = "disk_full"
	// KindInternal reports a fault in chestnuttiller itself.
	KindInternal Kind = "internal"
)

// Error is a typed error with a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	cause   error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Message
	switch {
	case e.cause != nil && e.Remedy != "":
		// The outer remedy replaces those of the causes.
		s += ": " + MessageOf(e.cause)
	case e.cause != nil:
		s += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		s += "; remedy: " + e.Remedy
	}
	return s
}

// Unwrap returns the wrapped cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind. The remedy is one imperative clause.
func New(kind Kind, remedy, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}, 1)
}

// Wrap is New with a cause. It returns nil when the cause is nil.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	e := &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, cause: cause}
	return errors.WithStackDepth(e, 1)
}

// KindOf returns the kind of the outermost typed error, or KindInternal for any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// RemedyOf returns the remedy of the outermost typed error.
func RemedyOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Remedy
	}
	return ""
}

// MessageOf returns the text of an error without the remedy of the outermost typed error, for answers that have
// separate fields for the two.
func MessageOf(err error) string {
	remedy := RemedyOf(err)
	if remedy == "" {
		return err.Error()
	}
	return strings.TrimSuffix(err.Error(), "; remedy: "+remedy)
}
