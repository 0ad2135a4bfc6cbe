package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// omit publishes the configuration without an entry, as a node does that cannot use the entry.
func (h *harness) omit(entry string, partial bool) {
	table := h.published[jackdawbridge.ConfigTable]
	h.whole = table.At(table.Revision() + 1)
	left := slices.DeleteFunc(slices.Clone(table.Entries()), func(e jackdawbridge.Entry) bool { return e.Name() == entry })
	next, err := jackdawbridge.NewTable(table.Revision()+1, table.Change(), left)
	if err != nil {
		panic(err)
	}
	omissions := jackdawbridge.Omissions{}.With(jackdawbridge.NewOmission("v2", entry, "cannot be used"))
	if partial {
		omissions = omissions.AsPartial()
	}
	h.putConfig(next.At(next.Revision()).WithOmissions(omissions))
}

// putWhole replaces the table of the last omit by the one with the entry, as a node reads it
// that can use the entry.
func (h *harness) putWhole() { h.putConfig(h.whole) }

// publishNext publishes the configuration in force as a new version with the same omissions.
func (h *harness) publishNext(version string) {
	table := h.published[jackdawbridge.ConfigTable]
	omissions := jackdawbridge.Omissions{}
	for _, o := range table.Omissions().List() {
		omissions = omissions.With(jackdawbridge.NewOmission(version, o.Entry(), o.Reason()))
	}
	h.putConfig(table.At(table.Revision() + 1).WithOmissions(omissions))
}

func (h *harness) putConfig(table *jackdawbridge.Table) {
	h.previous[jackdawbridge.ConfigTable] = h.published[jackdawbridge.ConfigTable]
	h.published[jackdawbridge.ConfigTable] = table
	h.store.put(jackdawbridge.ConfigTable, table, 0)
}
