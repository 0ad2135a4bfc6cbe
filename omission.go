package jackdawbridge

import (
	"slices"
	"strings"
)

const (
	// maxOmissions is the maximum number of omissions that are listed. All are counted.
	maxOmissions = 16
	// maxOmissionBytes is the maximum size of each text of an omission in bytes.
	maxOmissionBytes = 255
)

// Omission is a part of a configuration that cannot be used.
type Omission struct {
	version string // of the configuration, as its operators write it
	entry   string // name of the part, or where it stands
	reason  string
}

// NewOmission returns the part of a version of the configuration that cannot be used for the
// given reason. Long texts are truncated.
func NewOmission(version, entry, reason string) Omission {
	return Omission{version: omissionText(version), entry: omissionText(entry), reason: omissionText(reason)}
}

func omissionText(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxOmissionBytes)], "")
}

// Version returns the version of the configuration.
func (o Omission) Version() string { return o.version }

// Entry returns the name of the part, or where it stands.
func (o Omission) Entry() string { return o.entry }

// Reason returns why the part cannot be used.
func (o Omission) Reason() string { return o.reason }

// Omissions are the parts of a configuration that cannot be used. The zero value has none.
type Omissions struct {
	list    []Omission // the first ones, at most maxOmissions
	count   int        // number of all, at least len(list)
	partial bool       // see Partial
}

// NewOmissions returns the given number of omissions, of which the list has the first ones.
func NewOmissions(list []Omission, count int) Omissions {
	list = list[:min(len(list), maxOmissions)]
	return Omissions{list: list, count: max(count, len(list))}
}

// With returns o with one more omission.
func (o Omissions) With(omission Omission) Omissions {
	if len(o.list) < maxOmissions {
		o.list = append(o.list[:len(o.list):len(o.list)], omission)
	}
	o.count++
	return o
}

// List returns the first omissions. The caller must not change them.
func (o Omissions) List() []Omission { return o.list }

// Count returns the number of all omissions.
func (o Omissions) Count() int { return o.count }

// AsPartial returns o as the omissions of a table that lacks entries which a node could not
// decode.
func (o Omissions) AsPartial() Omissions {
	o.partial = true
	return o
}

// Partial reports whether the table lacks entries because a node could not decode them. A node
// of another version may have them.
func (o Omissions) Partial() bool { return o.partial }

// Equal reports whether o and other are the same omissions.
func (o Omissions) Equal(other Omissions) bool {
	return o.count == other.count && o.partial == other.partial && slices.Equal(o.list, other.list)
}
