package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
)

// TestProcesses runs each script of testdata/processes against real processes. The
// comment at the head of a script names the failures that it guards against.
func TestProcesses(t *testing.T) {
	bin := buildPrograms(t)
	datadriven.Walk(t, "testdata/processes", func(t *testing.T, path string) {
		f := newFleet(t, bin)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out, err := f.command(d)
			if err != nil {
				d.Fatalf(t, "%v\n%s", err, out)
			}
			return out
		})
	})
}

func arg(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

// command runs one command of a script and returns its output.
func (f *fleet) command(d *datadriven.TestData) (string, error) {
	switch d.Cmd {
	case "platform":
		f.platform = f.freeAddress()
		return "", f.startStandin("platform", "platform", "--listen", f.platform)
	case "node":
		return "", f.startNode(arg(d, "name"), arg(d, "dc"), strings.Fields(d.Input)...)
	case "backend":
		return "", f.startBackend(d)
	case "apply":
		return f.apply(d)
	case "check":
		return f.check(d)
	case "give":
		return "", f.give(arg(d, "account"), arg(d, "as"))
	case "withdraw":
		return f.withdraw(arg(d, "key"))
	case "call":
		return f.call(d).String(), nil
	case "await":
		want := strings.TrimSpace(d.Input)
		return f.poll("answer", func() (string, bool) {
			got := f.call(d).String()
			return got, got == want
		})
	case "await-run":
		backend := f.processes[arg(d, "process")]
		_, err := f.poll("a request at the backend server", func() (string, bool) {
			got := f.call(d).String()
			return got, strings.Contains(backend.out.String(), `"method"`)
		})
		return "", err
	case "hold":
		return "", f.hold(d)
	case "leave":
		f.leave()
		return "", nil
	case "await-calls":
		want, _ := strconv.Atoi(arg(d, "count"))
		return "", f.awaitCalls(arg(d, "node"), func(calls int) bool { return calls <= want })
	case "pipeline":
		return "", f.pipeline(d)
	case "answers":
		return f.answersInOrder()
	case "abandon":
		return "", f.pipelined.conn.Close()
	case "upload":
		return f.upload(d)
	case "upload-bounds":
		return f.uploadBounds(d)
	case "uploads":
		return f.uploads(d)
	case "busy":
		return "", f.awaitCalls(arg(d, "node"), func(calls int) bool { return calls >= 1 })
	case "arrived": // requests that the backend server has received with a body of the given size
		return strconv.Itoa(strings.Count(f.processes[arg(d, "process")].out.String(), fmt.Sprintf(`"body":%s}`, arg(d, "body")))), nil
	case "ends":
		return f.ends()
	case "raw":
		return f.raw(arg(d, "node"), arg(d, "listener"), d.Input)
	case "operator": // writes an item of the operators
		value := d.Input
		if count, _ := strconv.Atoi(arg(d, "keys")); count > 0 { // as a list of that many keys
			keys := make([]string, count)
			for i := range keys {
				keys[i] = strconv.Quote(strconv.FormatInt(int64(i), 36))
			}
			value = strings.Replace(value, "KEYS", strings.Join(keys, ","), 1)
		}
		return "", f.writeItem(arg(d, "key"), value)
	case "await-raw":
		head, want, _ := strings.Cut(d.Input, "\nwant: ")
		return f.poll("answer", func() (string, bool) {
			got, err := f.raw(arg(d, "node"), "callers", head)
			return got, err == nil && got == want
		})
	case "logged": // lines of a process with the given text, without their times
		want, _ := strconv.Atoi(arg(d, "lines"))
		return f.poll("log lines", func() (string, bool) {
			lines := f.logged(arg(d, "process"), strings.TrimSpace(d.Input))
			return strings.Join(lines, "\n"), len(lines) >= want
		})
	case "await-metric":
		want := strings.TrimSpace(d.Input)
		return f.poll("the metric", func() (string, bool) {
			line, err := f.metric(arg(d, "node"), arg(d, "name"))
			return line, err == nil && line == want
		})
	case "metric":
		return f.metric(arg(d, "node"), arg(d, "name"))
	case "load":
		m := f.nodes[arg(d, "node")]
		f.startLoad(m.callers, arg(d, "path"), f.keys[arg(d, "key")])
		return "", nil
	case "await-load":
		want, _ := strconv.Atoi(arg(d, "calls"))
		_, err := f.poll("answered calls", func() (string, bool) {
			n := f.load.resultCount("200")
			return fmt.Sprint(n), n >= want
		})
		return "", err
	case "end-load":
		close(f.load.stop)
		f.load.group.Wait()
		return strings.Join(slices.Sorted(maps.Keys(f.load.results)), "\n"), nil
	case "crowd":
		return "", f.crowd(d)
	case "crowd-messages":
		return "", f.crowdMessages(d)
	case "peer-message":
		return f.peerMessage(d)
	case "bounded":
		megabytes, _ := strconv.Atoi(arg(d, "megabytes"))
		descriptors, _ := strconv.Atoi(arg(d, "descriptors"))
		return f.bounded(arg(d, "node"), megabytes, descriptors)
	case "kill":
		return f.signal(arg(d, "process"), syscall.SIGKILL)
	case "hangup":
		return "", f.processes[arg(d, "process")].command.Process.Signal(syscall.SIGHUP)
	case "begin-stop": // waits until the node has decided to exit
		p := f.processes[arg(d, "process")]
		if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
			return "", err
		}
		_, err := f.poll("the decision to exit", func() (string, bool) {
			return "", strings.Contains(p.out.String(), "drain: drain finished, node exits")
		})
		return "", err
	case "await-exit":
		p := f.processes[arg(d, "process")]
		select {
		case <-p.ended:
			return fmt.Sprintf("error: %v", p.err), nil
		case <-time.After(stepTimeout):
			return "", errors.New("the process did not exit in time")
		}
	case "stop":
		return f.signal(arg(d, "process"), syscall.SIGTERM)
	case "received":
		return f.received(arg(d, "process"), f.keys[arg(d, "key")])
	}
	return "", errors.Errorf("unknown command %s", d.Cmd)
}

func (f *fleet) startBackend(d *datadriven.TestData) error {
	node := arg(d, "node")
	args := []string{"backend", "--listen", f.freeAddress(), "--node", f.nodes[node].backend, "--service", arg(d, "service"), "--slots", "8"}
	if next := arg(d, "next"); next != "" {
		args = append(args, "--next", next)
	}
	return f.startStandin("backend-"+node, args...)
}

// queryArgs returns the flags --wait and --ask for all nodes.
func (f *fleet) queryArgs() []string {
	args := []string{"--wait", stepTimeout.String()}
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		args = append(args, "--ask", f.nodes[name].dc+"="+f.nodes[name].rpc)
	}
	return args
}

// apply applies a file of the folder examples. It repeats the command until the
// platform is up.
func (f *fleet) apply(d *datadriven.TestData) (string, error) {
	file := filepath.Join("..", "..", "examples", arg(d, "file"))
	args := append([]string{"apply", "--platform", f.platform, file}, f.queryArgs()...)
	out, err := f.poll("apply", func() (string, bool) {
		out, err := f.run("", args...)
		return out, err == nil
	})
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return strings.Join(lines[1:], "\n"), err // the first line contains a random id
}

// check checks the questionnaire that the script holds, with the stored configuration if the
// argument stored is given.
func (f *fleet) check(d *datadriven.TestData) (string, error) {
	args := []string{"check", "-"}
	if d.HasArg("stored") {
		args = append(args, "--platform", f.platform)
	}
	out, err := f.run(d.Input, args...)
	return fmt.Sprintf("%sexit: %v", out, err), nil
}

func (f *fleet) give(account, as string) error {
	out, err := f.run("", append([]string{"keys", "give", "--platform", f.platform, "--account", account}, f.queryArgs()...)...)
	if err != nil {
		return errors.Errorf("keys give: %s: %w", out, err)
	}
	key, _, _ := strings.Cut(strings.TrimPrefix(out, "key "), "\n")
	f.keys[as] = key
	return nil
}

func (f *fleet) withdraw(as string) (string, error) {
	out, err := f.run(f.keys[as]+"\n", append([]string{"keys", "withdraw", "--platform", f.platform, "--key"}, f.queryArgs()...)...)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return strings.Join(lines[1:], "\n"), err
}

func (f *fleet) call(d *datadriven.TestData) answer {
	key := arg(d, "key")
	if known, ok := f.keys[key]; ok {
		key = known
	}
	method := http.MethodGet
	if m := arg(d, "method"); m != "" {
		method = m
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	size, _ := strconv.Atoi(arg(d, "body"))
	return call(context.Background(), client, method, f.nodes[arg(d, "node")].callers, arg(d, "path"), key, strings.NewReader(strings.Repeat("x", size)))
}

// hold sends the given number of calls at once, with bodies of the given size, and waits
// until the node has them all. With the argument part it does not wait, and half of each
// body is never sent.
func (f *fleet) hold(d *datadriven.TestData) error {
	node, method, path, key, part := arg(d, "node"), arg(d, "method"), arg(d, "path"), f.keys[arg(d, "key")], d.HasArg("part")
	count, _ := strconv.Atoi(arg(d, "count"))
	size, _ := strconv.Atoi(arg(d, "body"))
	if f.load == nil {
		f.load = &load{results: make(map[string]int)}
	}
	l := f.load
	ctx, leave := context.WithCancel(context.Background())
	f.leave = leave
	for range count {
		l.group.Go(func() {
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if part {
				never, unused := io.Pipe()
				defer func() { _ = unused.Close() }()
				body = io.MultiReader(io.LimitReader(body, int64(size/2)), never)
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			a := call(ctx, client, method, f.nodes[node].callers, path, key, body)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results[resultOf(a)]++
		})
	}
	if part {
		return nil
	}
	return f.awaitCalls(node, func(calls int) bool { return calls >= count })
}

// awaitCalls waits until the number of calls that are in progress at a node is as wanted.
func (f *fleet) awaitCalls(node string, wanted func(calls int) bool) error {
	_, err := f.poll("calls at the node", func() (string, bool) {
		line, err := f.metric(node, "jackdawbridge_calls_in_progress")
		_, number, _ := strings.Cut(line, " ")
		calls, _ := strconv.Atoi(number)
		return line, err == nil && wanted(calls)
	})
	return err
}

// ends waits until all calls of hold have ended and returns their results.
func (f *fleet) ends() (string, error) {
	ended := make(chan struct{})
	go func() {
		f.load.group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return strings.Join(slices.Sorted(maps.Keys(f.load.results)), "\n"), nil
	case <-time.After(stepTimeout):
		return "", errors.New("some calls have not ended")
	}
}

// received returns, as one line each, whether the log of a backend server contains
// a request, the caller's key, an Authorization header, the envelope of a forwarded
// request, and a token.
func (f *fleet) received(name, key string) (string, error) {
	out := f.processes[name].out.String()
	return fmt.Sprintf("requests: %t\nkey: %t\nauthorization: %t\nenvelope: %t\ntoken: %t",
		strings.Contains(out, `"method"`), strings.Contains(out, key), strings.Contains(out, "Authorization"),
		strings.Contains(out, "Jackdaw-Envelope"), strings.Contains(out, "Jackdaw-Token")), nil
}

// raw sends a request, written out in the script, to a listener of a node. It returns
// the status of the answer with the outcome and the reason of a refusal, and whether
// the node failed to close a connection that it announced to close.
func (f *fleet) raw(node, listener, input string) (string, error) {
	conn, err := net.Dial("tcp", f.nodes[node].listener(listener))
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		return "", err
	}
	head, content, _ := strings.Cut(input, "\nbody: ")
	if _, err := io.WriteString(conn, expand(head)+"\r\nHost: x\r\n\r\n"+content); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer", nil
	}
	defer func() { _ = response.Body.Close() }()
	suffix := ""
	if response.Close {
		_, _ = io.Copy(io.Discard, response.Body)
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			suffix = "and keeps the connection"
		}
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s %s %s", response.StatusCode, response.Header.Get("Jackdaw-Outcome"), response.Header.Get("Jackdaw-Reason"), suffix)), nil
}

// writeItem writes an item of the operators to the platform. It repeats the call until the
// platform is up.
func (f *fleet) writeItem(key, value string) error {
	_, err := f.poll("the platform", func() (string, bool) {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.platform+"/operator/"+key, strings.NewReader(value))
		if err != nil {
			return err.Error(), false
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err.Error(), false
		}
		return response.Status, response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
	return err
}

// logged returns the log lines of a process that contain a text, from their message on.
func (f *fleet) logged(process, text string) []string {
	var lines []string
	for line := range strings.Lines(f.processes[process].out.String()) {
		if _, message, ok := strings.Cut(line, `"msg":`); ok && strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(message))
		}
	}
	return lines
}

// metric returns the line of a metric on a node's metrics page, or "none".
func (f *fleet) metric(node, name string) (string, error) {
	page, err := fetchPage(context.Background(), f.nodes[node].admin, "/metrics")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, name+" ") {
			return strings.TrimSpace(line), nil
		}
	}
	return "none", nil
}
