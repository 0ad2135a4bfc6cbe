package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
)

// settledPolls is the number of equal polls after which a node is taken to have read what
// it reads of the bytes that a crowd has sent.
const settledPolls = 10

// pieceGap is the pause between two pieces that a connection of a crowd sends.
const pieceGap = 5 * time.Millisecond

// crowd opens connections to a listener of a node, sends the same bytes on each and leaves
// them open. It waits until the node has read what it reads of them. With the argument
// pieces, each connection sends its bytes in that many pieces.
func (f *fleet) crowd(d *datadriven.TestData) error {
	name := arg(d, "node")
	count, _ := strconv.Atoi(arg(d, "count"))
	pieces, _ := strconv.Atoi(arg(d, "pieces"))
	address := f.nodes[name].listener(arg(d, "listener"))
	data := expand(d.Input)
	var group sync.WaitGroup
	for range count {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return errors.Errorf("open a connection of the crowd: %w", err)
		}
		f.t.Cleanup(func() { _ = conn.Close() })
		group.Go(func() { send(conn, data, max(1, pieces)) })
	}
	group.Wait()
	return f.awaitRead(address)
}

// send sends data in pieces. It ends early if the node closes the connection or reads no
// further.
func send(conn net.Conn, data string, pieces int) {
	size := (len(data) + pieces - 1) / pieces
	for len(data) > 0 {
		part := data[:min(size, len(data))]
		_ = conn.SetWriteDeadline(time.Now().Add(settledPolls * pollInterval))
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		if data = data[len(part):]; len(data) > 0 {
			time.Sleep(pieceGap)
		}
	}
}

// repeated matches a part of a crowd's input that stands for many copies of a text.
var repeated = regexp.MustCompile(`\{([^{}]+?)\*(\d+)\}`)

// escaped matches a byte that is written as \xHH.
var escaped = regexp.MustCompile(`\\x[0-9a-f]{2}`)

// expand returns the bytes that an input stands for. Lines end with CRLF, \n is a line end,
// \xHH is the byte with that hexadecimal number,
// and {TEXT*N} is N copies of TEXT, in each of which # is the number of the copy.
func expand(input string) string {
	input = strings.ReplaceAll(input, "\n", `\n`)
	input = repeated.ReplaceAllStringFunc(input, func(match string) string {
		parts := repeated.FindStringSubmatch(match)
		count, _ := strconv.Atoi(parts[2])
		var b strings.Builder
		for i := range count {
			b.WriteString(strings.ReplaceAll(parts[1], "#", strconv.FormatInt(int64(i), 36)))
		}
		return b.String()
	})
	input = escaped.ReplaceAllStringFunc(input, func(match string) string {
		number, _ := strconv.ParseUint(match[2:], 16, 8)
		return string([]byte{byte(number)})
	})
	return strings.ReplaceAll(input, `\n`, "\r\n")
}

// awaitRead waits until the number of unread bytes at a listener's connections no longer
// changes.
func (f *fleet) awaitRead(address string) error {
	last, equal := -1, 0
	_, err := f.poll("a node that reads no further", func() (string, bool) {
		unread, err := unreadBytes(address)
		if err != nil {
			return err.Error(), false
		}
		if unread != last {
			last, equal = unread, 0
		}
		equal++
		return strconv.Itoa(unread), equal > settledPolls
	})
	return err
}

// listenState is the state of a listening socket in /proc/net/tcp.
const listenState = "0A"

// unreadBytes returns how many bytes have arrived and are unread at the connections that a
// listener at address has accepted.
func unreadBytes(address string) (int, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, errors.Errorf("parse address: %w", err)
	}
	ip := a.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, errors.Errorf("read the table of connections: %w", err)
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listenState {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += int(n)
	}
	return sum, nil
}

// bounded checks that a node's process lives and that its memory at peak, in megabytes, and
// its open descriptors are below the given bounds.
func (f *fleet) bounded(name string, megabytes, descriptors int) (string, error) {
	p := f.processes[name]
	select {
	case <-p.ended:
		return "", errors.Errorf("%s has ended: %w", name, p.err)
	default:
	}
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return "", errors.Errorf("read status of %s: %w", name, err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		return "", errors.Errorf("read memory of %s: %w", name, err)
	}
	open, err := os.ReadDir(dir + "fd")
	if err != nil {
		return "", errors.Errorf("read descriptors of %s: %w", name, err)
	}
	f.t.Logf("%s: %d MB at peak, %d descriptors", name, kilobytes>>10, len(open))
	return fmt.Sprintf("memory: %t\ndescriptors: %t", kilobytes>>10 < megabytes, len(open) < descriptors), nil
}

// listener returns the address of one of the node's listeners.
func (m *nodeAddresses) listener(name string) string {
	return map[string]string{"callers": m.callers, "peers": m.peers, "rpc": m.rpc, "backend": m.backend, "admin": m.admin}[name]
}
