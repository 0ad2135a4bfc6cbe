package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// keyBytes is the size of a new key. 256 random bits cannot be guessed, so the
	// stored hash needs neither salt nor stretching.
	keyBytes = 32
	// minHashDigits is the minimum number of hexadecimal digits that identify a key
	// by its hash.
	minHashDigits = 8
	// maxLabelBytes is the maximum length of a key's label.
	maxLabelBytes = 64
)

// keysCommand groups the commands that manage the keys of client accounts.
type keysCommand struct {
	Give     giveCommand     `cmd:"" help:"Create a key for a client account and print it. The key is not stored and cannot be printed again."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key, so that nodes refuse requests with it."`
	List     listCommand     `cmd:"" help:"List the hashes, client accounts and labels of all keys."`
}

// giveCommand creates a key for a client account.
type giveCommand struct {
	platformFlags
	queryFlags
	Account string `required:"" help:"Client account that the key belongs to."`
	Label   string `help:"Note that keys list prints with the key."`
}

// Run stores the hash of a new key and prints the key.
func (c *giveCommand) Run() error {
	if len(c.Label) > maxLabelBytes || strings.ContainsFunc(c.Label, func(r rune) bool { return r < ' ' }) {
		return flagError("label", c.Label, fmt.Sprintf("at most %d bytes without control characters", maxLabelBytes))
	}
	if _, err := c.nodes(); err != nil {
		return err
	}
	config, err := loadTable(c.Platform, jackdawbridge.ConfigTable)
	if err != nil {
		return err
	}
	if _, ok := config.Entry("account/" + c.Account); !ok {
		return flagError("account", c.Account, "a client account of the stored configuration")
	}
	store, err := openStore(c.Platform)
	if err != nil {
		return err
	}
	random := make([]byte, keyBytes)
	_, _ = rand.Read(random) // never fails, see crypto/rand
	key := base64.RawURLEncoding.EncodeToString(random)
	hash := jackdawbridge.KeyHash(sha256.Sum256([]byte(key)))
	create := newChange(store, jackdawbridge.KeysTable, createKey(hash, c.Account, c.Label))
	// The key is printed before it is stored: if the platform's answer is lost, the
	// key may be in force.
	fmt.Printf("key %s\nhash %s\n", key, hex.EncodeToString(hash[:]))
	return create.commitAndReport(context.Background(), os.Stdout, c.queryFlags)
}

// createKey returns an edit that adds a key of an account. It fails for a key that
// was withdrawn before, so that no withdrawn key becomes valid again.
func createKey(hash jackdawbridge.KeyHash, account, label string) edit {
	return func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error) {
		name := jackdawbridge.KeyEntryName(hash)
		if e, ok := table.Entry(name); ok {
			if string(e.Key().Account()) != account {
				return nil, errors.Errorf("create %s: key belongs to client account %s", name, e.Key().Account())
			}
			return nil, nil
		}
		for _, e := range table.Entries() {
			if e.Name() == name {
				return nil, errors.Errorf("create %s: key was withdrawn and cannot become valid again", name)
			}
		}
		key, err := jackdawbridge.NewKey(hash, jackdawbridge.AccountName(account), label)
		if err != nil {
			return nil, errors.Errorf("create key: %w", err)
		}
		return []jackdawbridge.Entry{jackdawbridge.KeyEntry(key)}, nil
	}
}

// withdrawCommand withdraws a key.
type withdrawCommand struct {
	platformFlags
	queryFlags
	Hash string `xor:"key" required:"" help:"Hash of the key, or its first hexadecimal digits, at least 8."`
	Key  bool   `xor:"key" required:"" help:"Read the key itself from standard input."`
}

// Run replaces the entry of the key with a tombstone.
func (c *withdrawCommand) Run() error {
	if _, err := c.nodes(); err != nil {
		return err
	}
	prefix, err := c.prefix()
	if err != nil {
		return err
	}
	store, err := openStore(c.Platform)
	if err != nil {
		return err
	}
	withdraw := newChange(store, jackdawbridge.KeysTable, withdrawKey(prefix))
	return withdraw.commitAndReport(context.Background(), os.Stdout, c.queryFlags)
}

func (c *withdrawCommand) prefix() (string, error) {
	if c.Key {
		line, err := bufio.NewReader(os.Stdin).ReadString('\n')
		key := strings.TrimSpace(line)
		if key == "" {
			return "", errors.Errorf("--key: no key on standard input: %w", err)
		}
		hash := sha256.Sum256([]byte(key))
		return hex.EncodeToString(hash[:]), nil
	}
	digits := strings.ToLower(c.Hash)
	if len(digits) < minHashDigits || strings.Trim(digits, "0123456789abcdef") != "" {
		return "", flagError("hash", c.Hash, fmt.Sprintf("at least %d hexadecimal digits", minHashDigits))
	}
	return digits, nil
}

// withdrawKey returns an edit that withdraws the key whose hash starts with the
// given digits.
func withdrawKey(prefix string) edit {
	return func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error) {
		var found []jackdawbridge.Entry
		for _, e := range table.Entries() {
			if strings.HasPrefix(e.Name(), "key/"+prefix) {
				found = append(found, e)
			}
		}
		switch {
		case len(found) == 0:
			return nil, errors.Errorf("no key has a hash that starts with %s", prefix)
		case len(found) > 1:
			return nil, errors.Errorf("%d keys have a hash that starts with %s: give more digits", len(found), prefix)
		case found[0].Removed():
			return nil, nil
		}
		return []jackdawbridge.Entry{jackdawbridge.Tombstone(found[0].Name())}, nil
	}
}

// listCommand lists the keys, withdrawn ones included.
type listCommand struct {
	platformFlags
}

// Run prints the revision of the key table and one line for each key.
func (c *listCommand) Run() error {
	table, err := loadTable(c.Platform, jackdawbridge.KeysTable)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d by change %s\n", table.Revision(), table.Change())
	for _, e := range table.Entries() {
		hash := strings.TrimPrefix(e.Name(), "key/")
		if k := e.Key(); k != nil {
			fmt.Printf("%s account=%s label=%q revision=%d\n", hash, k.Account(), k.Label(), e.Revision())
			continue
		}
		fmt.Printf("%s withdrawn revision=%d\n", hash, e.Revision())
	}
	return nil
}
