package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/audit"
	"github.com/jackdawbridge/jackdawbridge/questionnaire"
)

// checkCommand validates a questionnaire without changing anything.
type checkCommand struct {
	File     string `arg:"" help:"Questionnaire file, or - for standard input."`
	Platform string `help:"Address of the platform's key-value service, IP:PORT, to compare with the configuration in force. Optional."`
}

// Run prints what is wrong or doubtful in the questionnaire, how it differs from the
// configuration in force, and a summary. Only errors make it fail.
func (c *checkCommand) Run() error {
	q, err := readQuestionnaire(c.File)
	var faults questionnaire.Faults
	if errors.As(err, &faults) {
		if err := writeFindings(os.Stdout, faultFindings(faults)); err != nil {
			return err
		}
		return errors.Errorf("questionnaire %s rejected: %d errors", c.File, len(faults))
	}
	if err != nil {
		return err
	}
	found := audit.Inspect(q.Entries())
	if c.Platform != "" {
		more, err := compareWithStored(c.Platform, q.Entries())
		if err != nil {
			return err
		}
		found = append(found, more...)
	}
	if err := writeFindings(os.Stdout, found); err != nil {
		return err
	}
	if invalid := countErrors(found); invalid > 0 {
		return errors.Errorf("questionnaire %s rejected: %d errors", c.File, invalid)
	}
	fmt.Printf("%s: accepted: %d data centres, %d services, %d client accounts\n",
		q.Deployment(), len(q.DataCentres()), len(q.Services()), len(q.Accounts()))
	return nil
}

func countErrors(found []audit.Finding) int {
	count := 0
	for _, f := range found {
		if f.Severity() == audit.Error {
			count++
		}
	}
	return count
}

// faultFindings returns the faults of a questionnaire as errors.
func faultFindings(faults questionnaire.Faults) []audit.Finding {
	found := make([]audit.Finding, len(faults))
	for i, f := range faults {
		text := fmt.Sprintf("line %d: %s", f.Line(), f.Reason())
		if f.Accepted() != "" {
			text += ": want " + f.Accepted()
		}
		entry := f.Field()
		if entry == "" {
			entry = "file"
		}
		found[i] = audit.NewFinding(audit.Error, entry, text)
	}
	return found
}

// compareWithStored returns what the stored keys say of the entries, and how the entries
// differ from the stored configuration.
func compareWithStored(platform string, entries []jackdawbridge.Entry) ([]audit.Finding, error) {
	config, err := loadTable(platform, jackdawbridge.ConfigTable)
	if err != nil {
		return nil, err
	}
	keys, err := loadTable(platform, jackdawbridge.KeysTable)
	if err != nil {
		return nil, err
	}
	found := audit.InspectKeys(entries, keys.Entries())
	for _, d := range audit.Compare(config, entries) {
		found = append(found, d.Finding())
	}
	return found, nil
}

// writeFindings writes one line for each finding.
func writeFindings(w io.Writer, found []audit.Finding) error {
	for _, f := range found {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return errors.Errorf("write findings: %w", err)
		}
	}
	return nil
}
