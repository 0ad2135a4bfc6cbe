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

// NotAfter reports whether p was made by the same backend server as o and is not known
// to be newer.
func (p BackendProcess) NotAfter(o BackendProcess) bool {
	if p.backend != o.backend {
		return false
	}
	return p.generation < o.generation || p.generation == o.generation && p.sequence <= o.sequence
}
