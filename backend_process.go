package jackdawbridge

// BackendProcess identifies an announcement: the backend server, its process and the
// number of the announcement.
type BackendProcess struct {
	backend    string // id of the backend server, empty if it has none
	generation uint64 // Unix time of the process's start in milliseconds, 0 if unknown
	sequence   uint64 // number of the announcement after that start, 0 if unknown
}

// NewBackendProcess returns the announcement with the given number of a process.
func NewBackendProcess(backend string, generation, sequence uint64) BackendProcess {
	return BackendProcess{backend: backend, generation: generation, sequence: sequence}
}

// Backend returns the id of the backend server, or "".
func (p BackendProcess) Backend() string { return p.backend }

// Generation returns the Unix time of the process's start in milliseconds, 0 if unknown.
func (p BackendProcess) Generation() uint64 { return p.generation }

// Sequence returns the number of the announcement after that start, 0 if unknown.
func (p BackendProcess) Sequence() uint64 { return p.sequence }

// SameProcess reports whether p and o are announcements of one process.
func (p BackendProcess) SameProcess(o BackendProcess) bool {
	return p.backend == o.backend && p.generation == o.generation
}

// DepartedProcess is the departure of a process of a backend server.
type DepartedProcess struct {
	process BackendProcess // with the number of the announcement of the departure, or of the last one before it
	left    bool           // the process ends; otherwise it drains, which a later announcement may take back
	at      Millis         // when the departure was recorded, 0 if unknown
}

// NewDepartedProcess returns the departure of a process that has left, or that drains.
func NewDepartedProcess(process BackendProcess, left bool) DepartedProcess {
	return DepartedProcess{process: process, left: left}
}

// WithTime returns d as recorded at the given time.
func (d DepartedProcess) WithTime(at Millis) DepartedProcess {
	d.at = at
	return d
}

// Time returns when the departure was recorded, 0 if unknown.
func (d DepartedProcess) Time() Millis { return d.at }

// Process returns the process and the announcement by which it departed.
func (d DepartedProcess) Process() BackendProcess { return d.process }

// Left reports whether the process has left, which is final.
func (d DepartedProcess) Left() bool { return d.left }

// Covers reports whether the departure holds for the sender of an announcement: the
// announcement is of an earlier process of the backend server, or of the same process and
// does not take the departure back.
func (d DepartedProcess) Covers(p BackendProcess) bool {
	if p.backend != d.process.backend {
		return false
	}
	if p.generation != d.process.generation {
		return p.generation < d.process.generation
	}
	return d.left || p.sequence <= d.process.sequence
}
