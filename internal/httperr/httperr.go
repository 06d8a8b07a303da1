// Package httperr converts typed errors to HTTP responses. The listeners for callers, targets and operators share it.
package httperr

import (
	"net/http"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Body is the JSON body of an error response.
type Body struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// Encode returns the JSON form of an error.
func Encode(err error) Body {
	return Body{Kind: string(errs.KindOf(err)), Message: errs.MessageOf(err), Remedy: errs.RemedyOf(err)}
}

// StatusOf returns the HTTP status of an error kind.
func StatusOf(kind errs.Kind) int {
	switch kind {
	case errs.KindInvalid:
		return http.StatusBadRequest
	case errs.KindNotFound:
		return http.StatusNotFound
	case errs.KindConflict:
		return http.StatusConflict
	case errs.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case errs.KindOverload:
		return http.StatusTooManyRequests
	case errs.KindNotAccepted, errs.KindUnavailable, errs.KindNotLeader, errs.KindDiskFull, errs.KindShutdown:
		return http.StatusServiceUnavailable
	case errs.KindUnknownOutcome, errs.KindDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}
