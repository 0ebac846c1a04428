// Package bolt reads and writes the Bolt protocol, versions 4.4 and 5.0 to 5.8, and PackStream, the encoding of its
// messages, as the published specification describes them. The parsers are incremental and bounded: they are given all
// bytes received so far, copy only what they have to, and don't rely on a size until that many bytes can be there.
package bolt

import (
	"encoding/binary"
	"errors"
)

// Magic is the number that opens a client's handshake.
const Magic = 0x6060B017

// Errors of the handshake and of Reader.
var (
	errNoHandshake    = errors.New("no Bolt handshake")
	errMessageTooLong = errors.New("message is longer than allowed")
)

// Manifest is the version proposal with which a client asks for the list of versions instead of naming some.
const Manifest Version = 0x000001FF

// Version is a protocol version in the encoding of the handshake: the major version in the lowest byte, the minor
// version in the second. In a proposal the third byte holds how many minor versions below it are proposed as well.
type Version uint32

// MakeVersion returns the version major.minor.
func MakeVersion(major, minor int) Version { return Version(minor<<8 | major) }

// Major returns the major version.
func (v Version) Major() int { return int(v & 0xff) }

// Minor returns the minor version.
func (v Version) Minor() int { return int(v >> 8 & 0xff) }

// minorRange returns how many minor versions below its own a proposal includes.
func (v Version) minorRange() int { return int(v >> 16 & 0xff) }

// SupportedVersions lists the versions that this package supports, the most preferred first.
var SupportedVersions = []Version{MakeVersion(5, 8), MakeVersion(5, 7), MakeVersion(5, 6), MakeVersion(5, 5), MakeVersion(5, 4), MakeVersion(5, 3), MakeVersion(5, 2), MakeVersion(5, 1), MakeVersion(5, 0), MakeVersion(4, 4)}

// Handshake parses a client's handshake, the magic number and four proposals. It returns the best supported version of
// the first proposal that has one, Manifest if a proposal before that asks for it, or 0 if no proposed version is
// supported. size is 0 if more bytes are needed. It returns an error if buf doesn't begin with the magic number.
func Handshake(buf []byte) (v Version, size int, err error) {
	for i := range min(len(buf), 4) {
		if buf[i] != byte(uint32(Magic)>>(24-8*i)) {
			return 0, 0, errNoHandshake
		}
	}
	if len(buf) < 20 {
		return 0, 0, nil
	}
	for at := 4; at < 20; at += 4 {
		p := Version(binary.BigEndian.Uint32(buf[at:]))
		if p == Manifest {
			return Manifest, 20, nil
		}
		for _, s := range SupportedVersions {
			if s.Major() == p.Major() && s.Minor() <= p.Minor() && s.Minor() >= p.Minor()-p.minorRange() {
				return s, 20, nil
			}
		}
	}
	return 0, 20, nil
}

// AppendVersion appends the server's choice of a version; 0 means none.
func AppendVersion(dst []byte, v Version) []byte {
	return binary.BigEndian.AppendUint32(dst, uint32(v))
}

// AppendManifest appends the response to a client that asked for the list of versions: Manifest, the number of ranges,
// the ranges, and an empty set of capabilities.
func AppendManifest(dst []byte) []byte {
	dst = AppendVersion(dst, Manifest)
	dst = append(dst, 2)
	dst = AppendVersion(dst, MakeVersion(5, 8)|8<<16)
	dst = AppendVersion(dst, MakeVersion(4, 4))
	return append(dst, 0)
}

// ReadChosenVersion parses a client's response to the manifest: one version, and the capabilities that it accepts, of
// which none are offered. size is 0 if more bytes are needed. It returns an error if the client chose a version or a
// capability that was not offered.
func ReadChosenVersion(buf []byte) (v Version, size int, err error) {
	if len(buf) < 5 {
		return 0, 0, nil
	}
	v = Version(binary.BigEndian.Uint32(buf))
	for _, s := range SupportedVersions {
		if s == v {
			if buf[4] != 0 {
				return 0, 0, errors.New("capabilities were taken up that were not offered")
			}
			return v, 5, nil
		}
	}
	return 0, 0, errors.New("a version was chosen that was not offered")
}

// AppendHandshake appends the handshake that a front sends to a store: all supported versions, as ranges.
func AppendHandshake(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, Magic)
	dst = AppendVersion(dst, MakeVersion(5, 8)|8<<16)
	dst = AppendVersion(dst, MakeVersion(4, 4))
	dst = AppendVersion(dst, 0)
	return AppendVersion(dst, 0)
}

// Reader finds messages in a stream of chunks. It remembers how far it has scanned, so that a message in chunks of one
// byte isn't scanned from its start again on each call.
type Reader struct {
	MaxSize  int    // Limit of a message's size in bytes, chunk headers included.
	scanned  int    // Bytes of the current message that were scanned, chunk headers included.
	bodySize int    // Bytes of the body among them.
	chunks   int    // Number of chunks among them.
	joined   []byte // The body of a message that has more than one chunk.
}

// Next returns the body of the next message in buf, which holds all bytes received and not consumed yet, and the size of
// the message with its chunk headers, or 0 if more bytes are needed. An empty chunk between messages (a NOOP) is returned
// as a message with an empty body. The body is valid until the next call. Next returns an error if the message is longer
// than MaxSize.
func (r *Reader) Next(buf []byte) (body []byte, size int, err error) {
	for len(buf) >= r.scanned+2 {
		n := int(binary.BigEndian.Uint16(buf[r.scanned:]))
		if n == 0 {
			size = r.scanned + 2
			switch {
			case r.chunks == 1:
				body = buf[2 : 2+r.bodySize]
			case r.chunks > 1:
				body = r.joined
			}
			r.scanned, r.bodySize, r.chunks = 0, 0, 0
			return body, size, nil
		}
		if r.scanned+2+n+2 > r.MaxSize { // Counts headers: a chunk of one byte has two bytes of header, and all must fit the ring.
			return nil, 0, errMessageTooLong
		}
		if len(buf) < r.scanned+2+n {
			return nil, 0, nil
		}
		if r.chunks == 1 { // The second chunk: the first was not copied yet.
			r.joined = append(r.joined[:0], buf[2:2+r.bodySize]...)
		}
		if r.chunks > 0 {
			r.joined = append(r.joined, buf[r.scanned+2:r.scanned+2+n]...)
		}
		r.chunks++
		r.bodySize += n
		r.scanned += 2 + n
	}
	return nil, 0, nil
}

// Free releases the buffer that a long message was joined in.
func (r *Reader) Free() { r.joined = nil }

// maxChunkSize is the largest size of a chunk's body in bytes.
const maxChunkSize = 0xffff

// BeginMessage starts a message on dst and returns its start, which EndMessage needs to fill in the chunk headers.
func BeginMessage(dst []byte) ([]byte, int) { return append(dst, 0, 0), len(dst) }

// EndMessage ends the message that starts at at. It splits a message longer than one chunk into several.
func EndMessage(dst []byte, at int) []byte {
	n := len(dst) - at - 2
	if n <= maxChunkSize {
		binary.BigEndian.PutUint16(dst[at:], uint16(n))
		return append(dst, 0, 0)
	}
	more := (n - 1) / maxChunkSize // Number of headers besides the first.
	dst = append(dst, make([]byte, 2*more)...)
	for k := more; k > 0; k-- { // From the last chunk backwards, moves each up by the size of the headers before it.
		from := at + 2 + k*maxChunkSize
		part := min(n-k*maxChunkSize, maxChunkSize)
		copy(dst[from+2*k:from+2*k+part], dst[from:from+part])
		binary.BigEndian.PutUint16(dst[from+2*k-2:], uint16(part))
	}
	binary.BigEndian.PutUint16(dst[at:], maxChunkSize)
	return append(dst, 0, 0)
}

// AppendRaw appends a message with an encoded body.
func AppendRaw(dst, body []byte) []byte {
	dst, at := BeginMessage(dst)
	return EndMessage(append(dst, body...), at)
}
