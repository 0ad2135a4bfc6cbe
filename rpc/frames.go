package rpc

const (
	prefaceBytes     = 24 // that a client of HTTP/2 sends before its first frame
	frameHeaderBytes = 9
	lengthBytes      = 3 // of the header, big endian, without the header
	// frameCost is the memory that the server takes for a frame apart from its content, in
	// bytes.
	frameCost = 128
)

// frameCounter counts the frames of HTTP/2 in what a client sends.
type frameCounter struct {
	begun  bool // the preface is accounted for
	skip   int  // bytes left of the preface, or of the content of the current frame
	header int  // bytes read of the header of the current frame, below frameHeaderBytes
	length int  // content of the current frame, as far as its header is read
}

// count returns how many frames begin in the next bytes from the client.
func (f *frameCounter) count(p []byte) int {
	if !f.begun {
		f.begun, f.skip = true, prefaceBytes
	}
	frames := 0
	for len(p) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(p))
			f.skip -= n
			p = p[n:]
			continue
		}
		if f.header == 0 {
			frames++
			f.length = 0
		}
		if f.header < lengthBytes {
			f.length = f.length<<8 | int(p[0])
		}
		p = p[1:]
		if f.header++; f.header == frameHeaderBytes {
			f.header, f.skip = 0, f.length
		}
	}
	return frames
}
