package wire

import (
	"math"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire/pb"
)

// EncodeForwardedRequest encodes the head of a request. It returns an error if the
// head is not valid.
func (Codec) EncodeForwardedRequest(request jackdawbridge.ForwardedRequest) ([]byte, error) {
	if err := request.Check(); err != nil {
		return nil, errors.Errorf("encode forwarded request: %w", err)
	}
	head := &pb.Passage{
		Envelope: fromEnvelope(request.Envelope()), Method: request.Method(), Host: request.Host(),
		Path: request.Path(), Query: request.Query(), Fields: fromHeader(request.Header()), Length: request.Length(),
	}
	data, err := head.MarshalVT()
	if err != nil {
		return nil, errors.Errorf("encode forwarded request: %w", err)
	}
	return data, nil
}

// DecodeForwardedRequest decodes the head of a request. It returns an error if the
// head is not valid.
func (Codec) DecodeForwardedRequest(data []byte) (jackdawbridge.ForwardedRequest, error) {
	var p pb.Passage
	if err := p.UnmarshalVT(data); err != nil {
		return jackdawbridge.ForwardedRequest{}, errors.Errorf("decode forwarded request: %w", err)
	}
	var d decoder
	request := jackdawbridge.NewForwardedRequest(d.envelope(p.Envelope), p.Method, p.Host, p.Path, p.Query, d.header(p.Fields), p.Length)
	if d.err == nil {
		d.err = request.Check()
	}
	if d.err != nil {
		return jackdawbridge.ForwardedRequest{}, errors.Errorf("decode forwarded request: %w", d.err)
	}
	return request, nil
}

// EncodeReply encodes the head of an answer. It returns an error if the head is not
// valid.
func (Codec) EncodeReply(r jackdawbridge.Reply) ([]byte, error) {
	if err := r.Check(); err != nil {
		return nil, errors.Errorf("encode reply: %w", err)
	}
	p := &pb.Reply{
		Status: int64(r.Status()), Fields: fromHeader(r.Header()), Length: r.Length(),
	}
	f := r.Feedback()
	p.Level, p.Unused, p.Waited = uint32(f.Level()), int64(f.UnusedRetries()), int64(f.Waited())
	p.Busy, p.Limit = int64(f.Occupancy().Busy()), int64(f.Occupancy().Limit())
	p.Backlog, p.Used, p.Granted = fromBacklog(f.Backlog()), fromUsage(f.Usage()), f.RetryGranted()
	if refusal, refused := r.Refusal(); refused {
		p.Refusal = fromRefusal(refusal)
	}
	data, err := p.MarshalVT()
	if err != nil {
		return nil, errors.Errorf("encode reply: %w", err)
	}
	return data, nil
}

// DecodeReply decodes the head of an answer. It returns an error if the head is not
// valid.
func (Codec) DecodeReply(data []byte) (jackdawbridge.Reply, error) {
	var p pb.Reply
	if err := p.UnmarshalVT(data); err != nil {
		return jackdawbridge.Reply{}, errors.Errorf("decode reply: %w", err)
	}
	var d decoder
	var reply jackdawbridge.Reply
	feedback := jackdawbridge.NewFeedback(enum[jackdawbridge.Level](&d, p.Level), int(p.Unused)).
		WithOccupancy(jackdawbridge.NewOccupancy(int(p.Busy), int(p.Limit)), jackdawbridge.Millis(p.Waited)).
		WithBacklog(d.backlog(p.Backlog)).WithUsage(d.usage(p.Used)).WithRetryGranted(p.Granted)
	if p.Refusal != nil {
		if p.Status != 0 {
			d.fail(errors.Errorf("refusal has status %d from the backend server: want none", p.Status))
		}
		reply = jackdawbridge.RefusedReply(d.refusal(p.Refusal), feedback)
	} else {
		reply = jackdawbridge.NewReply(int(p.Status), d.header(p.Fields), p.Length, feedback)
	}
	if d.err == nil {
		d.err = reply.Check()
	}
	if d.err != nil {
		return jackdawbridge.Reply{}, errors.Errorf("decode reply: %w", d.err)
	}
	return reply, nil
}

func fromEnvelope(e jackdawbridge.Envelope) *pb.Envelope {
	return &pb.Envelope{
		Id: string(e.ID()), Account: string(e.Account()), Service: string(e.Service()),
		Criticality: uint32(e.Criticality()), Bought: e.PaidPriority(), Idempotent: e.Idempotent(),
		Budget: int64(e.Budget()), Allowance: int64(e.RetryAllowance()), Depth: int64(e.Depth()),
		Fingerprint: uint64(e.Fingerprint()), Alone: e.Exclusive(),
		Objective: int64(e.Objective()), Sender: fromSender(e.Sender()), Sent: int64(e.Sent()),
		Turn: uint32(e.Precedence()), Again: e.Repeated(),
	}
}

func (d *decoder) envelope(p *pb.Envelope) jackdawbridge.Envelope {
	return jackdawbridge.NewEnvelope(
		jackdawbridge.RequestID(p.GetId()), jackdawbridge.AccountName(p.GetAccount()), jackdawbridge.ServiceName(p.GetService()),
		enum[jackdawbridge.Criticality](d, p.GetCriticality()), jackdawbridge.Millis(p.GetBudget()),
	).WithPaidPriority(p.GetBought()).WithIdempotent(p.GetIdempotent()).WithRetryAllowance(int(p.GetAllowance())).
		WithDepth(int(p.GetDepth())).WithFingerprint(jackdawbridge.Fingerprint(p.GetFingerprint()), p.GetAlone()).
		WithObjective(jackdawbridge.Millis(p.GetObjective())).WithSent(d.sender(p.GetSender()), jackdawbridge.Millis(p.GetSent())).
		WithPrecedence(precedence(p.GetTurn())).WithRepeated(p.GetAgain())
}

// fromBacklog returns nil for an unknown backlog, which is not encoded.
func fromBacklog(b jackdawbridge.Backlog) *pb.Backlog {
	if b.IsZero() {
		return nil
	}
	return &pb.Backlog{Work: int64(b.Work()), Each: int64(b.PerRequest()), Pace: int64(b.Pace())}
}

func (d *decoder) backlog(p *pb.Backlog) jackdawbridge.Backlog {
	if p == nil {
		return jackdawbridge.Backlog{}
	}
	return jackdawbridge.NewBacklog(jackdawbridge.Millis(p.Work), jackdawbridge.Millis(p.Each), int(p.Pace))
}

func fromUsage(u jackdawbridge.Usage) []*pb.Use {
	if u.Len() == 0 {
		return nil
	}
	list, uses := make([]*pb.Use, u.Len()), make([]pb.Use, u.Len())
	for i := range list {
		s, use := u.At(i), &uses[i]
		use.Service, use.Calls, use.Work = string(s.Service()), int64(s.Calls()), int64(s.Work())
		use.Bar, use.Retry, use.Rejected = uint32(s.Threshold()), uint32(s.RetryThreshold()), int64(s.Rejected())
		list[i] = use
	}
	return list
}

// precedence clamps a precedence that is out of range, which only affects the order of
// requests.
func precedence(p uint32) jackdawbridge.Precedence {
	return min(jackdawbridge.Precedence(min(p, math.MaxUint16)), jackdawbridge.MaxPrecedence)
}

// usage decodes the services that a request reached, without those beyond MaxUsage.
func (d *decoder) usage(list []*pb.Use) jackdawbridge.Usage {
	var u jackdawbridge.Usage
	for _, p := range list[:min(len(list), jackdawbridge.MaxUsage)] {
		s := jackdawbridge.NewServiceUsage(jackdawbridge.ServiceName(p.Service), int(p.Calls), jackdawbridge.Millis(p.Work)).
			WithThresholds(precedence(p.Bar), precedence(p.Retry)).
			WithRejected(int(p.Rejected))
		u.Add(s)
	}
	return u
}

// fromHeader encodes a header as a list of alternating names and values.
func fromHeader(h http.Header) []string {
	fields := make([]string, 0, 2*len(h))
	for name, values := range h {
		for _, value := range values {
			fields = append(fields, name, value)
		}
	}
	return fields
}

// header decodes a list of alternating names and values.
func (d *decoder) header(fields []string) http.Header {
	if len(fields)%2 != 0 || len(fields) > 2*jackdawbridge.MaxHeaderFields {
		d.fail(errors.Errorf("header has %d names and values: want an even number up to %d", len(fields), 2*jackdawbridge.MaxHeaderFields))
		return nil
	}
	h := make(http.Header, len(fields)/2+2)
	for i := 0; i < len(fields); i += 2 {
		name, value := fields[i], fields[i+1]
		if values, ok := h[name]; ok {
			h[name] = append(values, value)
			continue
		}
		h[name] = fields[i+1 : i+2 : i+2]
	}
	return h
}
