package jackdawbridge

import "github.com/go-faster/errors"

// ErrConflict is returned when a record does not have the expected version.
var ErrConflict = errors.New("record has another version")

// ErrInvalid is returned when a stored value cannot be decoded or is not valid.
var ErrInvalid = errors.New("stored value is invalid")
