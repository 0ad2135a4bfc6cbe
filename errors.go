package jackdawbridge

import "github.com/go-faster/errors"

// ErrConflict is returned by Store.Swap if the record does not have the expected
// version.
var ErrConflict = errors.New("record has another version")

// ErrInvalid is returned by a Store if a value cannot be decoded or is not valid.
var ErrInvalid = errors.New("stored value is invalid")
