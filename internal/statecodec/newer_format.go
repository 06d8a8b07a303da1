package statecodec

import "github.com/cockroachdb/errors"

// errNewerFormat marks decoding errors of messages from a later release.
var errNewerFormat = errors.New("the format is newer")

// IsNewerFormat reports whether decoding failed because the message comes from a later release. A control VM that
// finds such an entry in its log has to stop: skipping the entry would make its state differ from the state of the
// others.
func IsNewerFormat(err error) bool { return errors.Is(err, errNewerFormat) }
