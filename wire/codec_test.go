package wire

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire/pb"
)

// equal makes cmp compare unexported fields too. A nil slice equals an empty one.
var equal = cmp.Options{
	cmp.Exporter(func(reflect.Type) bool { return true }), cmpopts.EquateEmpty(),
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
}

// recode decodes data as the given kind and encodes the result again.
func recode(kind string, name jackdawbridge.RecordName, data []byte) (value any, encoded []byte, err error) {
	var c Codec
	switch kind {
	case "frame":
		f, err := c.DecodeFrame(data)
		if err != nil {
			return nil, nil, err
		}
		encoded, err = c.EncodeFrame(f)
		return f, encoded, err
	case "passage":
		p, err := c.DecodeForwardedRequest(data)
		if err != nil {
			return nil, nil, err
		}
		encoded, err = c.EncodeForwardedRequest(p)
		return p, encoded, err
	case "reply":
		r, err := c.DecodeReply(data)
		if err != nil {
			return nil, nil, err
		}
		encoded, err = c.EncodeReply(r)
		return r, encoded, err
	default:
		v, err := c.DecodeValue(name, data)
		if err != nil {
			return nil, nil, err
		}
		encoded, err = c.EncodeValue(v)
		return v, encoded, err
	}
}

// TestCodec guards against fields that the codec loses or does not encode, and against
// input that violates an invariant and is accepted.
func TestCodec(t *testing.T) {
	kinds := map[string]proto.Message{"frame": &pb.Frame{}, "passage": &pb.Passage{}, "reply": &pb.Reply{}, "value": &pb.Value{}}
	seen := make(map[string]bool)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.Contains(path, "fuzz") {
			return
		}
		var defined []string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text := strings.NewReplacer(defined...).Replace(d.Input)
			if d.Cmd == "define" {
				defined = append(defined, "$"+d.CmdArgs[0].Key, text)
				return ""
			}
			want, part := proto.Clone(kinds[d.Cmd]), proto.Clone(kinds[d.Cmd])
			for text := range strings.SplitSeq(text, "|") {
				if err := prototext.Unmarshal([]byte(text), part); err != nil {
					d.Fatalf(t, "%v", err)
				}
				proto.Merge(want, part)
			}
			data, err := proto.Marshal(want)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			var name string
			d.MaybeScanArgs(t, "name", &name)
			value, encoded, err := recode(d.Cmd, jackdawbridge.RecordName(name), data)
			if err != nil {
				return err.Error()
			}
			visit(seen, reflect.ValueOf(value))
			got := proto.Clone(kinds[d.Cmd])
			if err := proto.Unmarshal(encoded, got); err != nil {
				d.Fatalf(t, "%v", err)
			}
			left := takeOmitted(want, got)
			if f, ok := value.(jackdawbridge.Frame); ok && f.Omitted() > 0 {
				left = takeRumors(want, got)
			}
			if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
				return diff
			}
			return left
		})
	})
	for field, set := range seen {
		if !set {
			t.Errorf("no script sets %s: add one, and a field to the .proto file if it lacks one", field)
		}
	}
}

// takeOmitted removes the entries of a table from both messages if entries were omitted at
// decoding, and returns the names of those that are left with the omissions, otherwise "ok".
func takeOmitted(want, got proto.Message) string {
	wanted, entries, omitted := tableOf(want)
	_, left, found := tableOf(got)
	if found == nil || *found == nil || *omitted != nil {
		return "ok"
	}
	var lines []string
	for _, e := range *left {
		lines = append(lines, entryName(e))
	}
	for _, o := range (*found).List {
		lines = append(lines, "omitted of "+o.Version+": "+o.Entry+": "+o.Reason)
	}
	lines = append(lines, fmt.Sprintf("%d of %d entries, count %d, partial %t", len(*left), len(wanted), (*found).Count, (*found).Partial))
	*entries, *left, *found = nil, nil, nil
	return strings.Join(lines, "\n")
}

// takeRumors removes the rumors from both frames and returns how many were left.
func takeRumors(want, got proto.Message) string {
	wanted, left := rumorsOf(want), rumorsOf(got)
	text := fmt.Sprintf("%d of %d rumors", len(*left), len(*wanted))
	*wanted, *left = nil, nil
	return text
}

// rumorsOf returns where a frame holds its rumors.
func rumorsOf(m proto.Message) *[]*pb.Rumor {
	f := m.(*pb.Frame)
	switch {
	case f.GetProbe() != nil:
		return &f.GetProbe().Rumors
	case f.GetAck() != nil:
		return &f.GetAck().Rumors
	}
	return &f.GetMembers().Rumors
}

// tableOf returns the entries of a message with a table, and where it holds them and the
// omissions.
func tableOf(m proto.Message) (list []*pb.Entry, entries *[]*pb.Entry, omitted **pb.Omitted) {
	switch m := m.(type) {
	case *pb.Frame:
		if d := m.GetDelta(); d != nil {
			return d.Entries, &d.Entries, &d.Omitted
		}
	case *pb.Value:
		if t := m.GetTable(); t != nil {
			return t.Entries, &t.Entries, &t.Omitted
		}
	}
	return nil, nil, nil
}

// visit records which fields of the root package's structs are set in v, so that the
// test fails for a field that was added to a struct but not to the codec.
func visit(seen map[string]bool, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			visit(seen, v.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			visit(seen, v.Index(i))
		}
	case reflect.Struct:
		if v.Type().PkgPath() != reflect.TypeFor[jackdawbridge.Frame]().PkgPath() {
			return
		}
		for i := range v.NumField() {
			name := v.Type().String() + "." + v.Type().Field(i).Name
			seen[name] = seen[name] || !v.Field(i).IsZero()
			visit(seen, v.Field(i))
		}
	}
}

// fuzz decodes data, encodes the value and decodes it again. It guards against panics,
// and against accepted input whose value changes on the way.
func fuzz(t *testing.T, kind string, name jackdawbridge.RecordName, data []byte) {
	value, encoded, err := recode(kind, name, data)
	if value == nil {
		return
	}
	if err != nil {
		t.Fatalf("cannot encode a decoded value: %v", err)
	}
	other, _, err := recode(kind, name, encoded)
	if err != nil {
		t.Fatalf("cannot decode an encoded value: %v", err)
	}
	if f, ok := value.(jackdawbridge.Frame); ok {
		value = f.WithOmitted(0) // not encoded
	}
	if diff := cmp.Diff(value, other, equal); diff != "" {
		t.Fatal(diff)
	}
}

func FuzzFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) { fuzz(t, "frame", "", data) })
}

func FuzzPassage(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) { fuzz(t, "passage", "", data) })
}

func FuzzReply(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) { fuzz(t, "reply", "", data) })
}

func FuzzValue(f *testing.F) {
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		fuzz(t, "value", jackdawbridge.RecordName(name), data)
	})
}
