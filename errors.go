package jackdawbridge

import "github.com/go-faster/errors"

// ErrConflict tells that a record has another version than the one expected.
var ErrConflict = errors.New("record has another version")

// ErrInvalid tells that a stored value cannot be read.
var ErrInvalid = errors.New("stored value is invalid")
