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
	// keyBytes is the size of a new key: 256 random bits cannot be guessed, so
	// that a plain hash is enough to store.
	keyBytes = 32
	// minHashPrefix is the least number of hexadecimal digits by which a key is
	// named.
	minHashPrefix = 8
	// maxLabel bounds the label of a key in bytes.
	maxLabel = 64
)

// keysCommand holds the commands for keys.
type keysCommand struct {
	Give     giveCommand     `cmd:"" help:"Make a new key for a client account and print it once."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key."`
	List     listCommand     `cmd:"" help:"List the keys, without the keys themselves."`
}

// giveCommand makes a new key.
type giveCommand struct {
	platformFlags
	askFlags
	Account string `required:"" help:"Client account."`
	Label   string `help:"Note for lists of keys."`
}

// Run stores the hash of a new key and prints the key.
func (c *giveCommand) Run() error {
	if len(c.Label) > maxLabel || strings.ContainsFunc(c.Label, func(r rune) bool { return r < ' ' }) {
		return flagError("label", c.Label, fmt.Sprintf("at most %d bytes without control characters", maxLabel))
	}
	if _, err := c.nodes(); err != nil {
		return err
	}
	config, err := loadTable(c.Platform, jackdawbridge.ConfigTable)
	if err != nil {
		return err
	}
	if _, ok := config.Entry("account/" + c.Account); !ok {
		return flagError("account", c.Account, "a client account of the configuration in force")
	}
	store, err := openStore(c.Platform)
	if err != nil {
		return err
	}
	random := make([]byte, keyBytes)
	_, _ = rand.Read(random) // never fails, see crypto/rand
	key := base64.RawURLEncoding.EncodeToString(random)
	hash := jackdawbridge.KeyHash(sha256.Sum256([]byte(key)))
	give := newChange(store, jackdawbridge.KeysTable, giveKey(hash, c.Account, c.Label))
	// The key is printed first: if no answer comes, the key may be in force.
	fmt.Printf("key %s\nhash %s\n", key, hex.EncodeToString(hash[:]))
	return give.report(context.Background(), os.Stdout, c.askFlags)
}

// giveKey returns the edit that grants an account to a key. A key that was
// withdrawn stays withdrawn.
func giveKey(hash jackdawbridge.KeyHash, account, label string) edit {
	return func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error) {
		name := jackdawbridge.KeyEntryName(hash)
		if e, ok := table.Entry(name); ok {
			if string(e.Key().Account()) != account {
				return nil, errors.Errorf("key %s belongs to client account %s", name, e.Key().Account())
			}
			return nil, nil
		}
		for _, e := range table.Entries() {
			if e.Name() == name {
				return nil, errors.Errorf("key %s was withdrawn", name)
			}
		}
		key, err := jackdawbridge.NewKey(hash, jackdawbridge.AccountName(account), label)
		if err != nil {
			return nil, errors.Errorf("give key: %w", err)
		}
		return []jackdawbridge.Entry{jackdawbridge.KeyEntry(key)}, nil
	}
}

// withdrawCommand withdraws a key.
type withdrawCommand struct {
	platformFlags
	askFlags
	Hash string `xor:"key" required:"" help:"First hexadecimal digits of the key's hash, at least 8."`
	Key  bool   `xor:"key" required:"" help:"Read the key itself from standard input."`
}

// Run removes the grant of the key.
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
	return withdraw.report(context.Background(), os.Stdout, c.askFlags)
}

func (c *withdrawCommand) prefix() (string, error) {
	if c.Key {
		line, err := bufio.NewReader(os.Stdin).ReadString('\n')
		key := strings.TrimSpace(line)
		if key == "" {
			return "", errors.Errorf("--key: standard input holds no key: %w", err)
		}
		hash := sha256.Sum256([]byte(key))
		return hex.EncodeToString(hash[:]), nil
	}
	digits := strings.ToLower(c.Hash)
	if len(digits) < minHashPrefix || strings.Trim(digits, "0123456789abcdef") != "" {
		return "", flagError("hash", c.Hash, fmt.Sprintf("at least %d hexadecimal digits", minHashPrefix))
	}
	return digits, nil
}

// withdrawKey returns the edit that withdraws the key whose hash starts with
// the given digits.
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
			return nil, errors.Errorf("%d keys have a hash that starts with %s: want more digits", len(found), prefix)
		case found[0].Removed():
			return nil, nil
		}
		return []jackdawbridge.Entry{jackdawbridge.Tombstone(found[0].Name())}, nil
	}
}

// listCommand lists the keys.
type listCommand struct {
	platformFlags
}

// Run prints a line for each key.
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
