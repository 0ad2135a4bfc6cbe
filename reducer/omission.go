package reducer

import "github.com/jackdawbridge/jackdawbridge"

// missing returns the reason to refuse a request for an entry that the table in force does not
// have: the given one, unless a node that passed the table on could not decode all entries.
func (s *tableState) missing(reason jackdawbridge.Reason) jackdawbridge.Reason {
	if s.omissions.Partial() {
		return jackdawbridge.Misconfigured
	}
	return reason
}

// reportOmissions logs the parts of the configuration that the table in force lacks, once for
// each version of it.
func (p *settings) reportOmissions(s *tableState) {
	before, now := s.omissions, s.table.Omissions()
	s.omissions = now
	if s.fromPeer && now.Count() > 0 {
		p.reader.compare(p.r.now + p.r.members.jitter(p.limitPart(readRetryPermille)))
	}
	if now.Equal(before) {
		return
	}
	p.omitted += now.Count()
	for _, o := range now.List() {
		p.r.fx.Warn(jackdawbridge.PartSettings, "part of the configuration cannot be used").Str("table", string(s.name)).
			Str("version", o.Version()).Str("entry", o.Entry()).Str("cause", o.Reason())
	}
	if further := now.Count() - len(now.List()); further > 0 {
		p.r.fx.Warn(jackdawbridge.PartSettings, "further parts of the configuration cannot be used").Str("table", string(s.name)).
			Str("version", s.table.Change()).Int("count", int64(further))
	}
}

// correct replaces a table from a peer by the same one as this node has read it, if either
// has omissions: a peer of another version may use other entries.
func (p *settings) correct(s *tableState, record jackdawbridge.Record, source string) {
	read, ok := record.Value().(*jackdawbridge.Table)
	if !ok || !s.fromPeer || read.Change() != s.table.Change() || s.omissions.Equal(read.Omissions()) && !s.omissions.Partial() {
		return
	}
	if read.Revision() != s.revision() {
		read = read.At(s.revision())
	}
	p.enforce(s, read, nil, source, jackdawbridge.Node{})
	p.r.shares.outdated = true
}
