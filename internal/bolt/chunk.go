// Package bolt reads and writes the Bolt protocol, versions 4.4 and 5.0 to 5.8, and PackStream, which its messages
// are made of, from the published specification. Its parsers are incremental and bounded: they are given all that
// has come in so far, copy nothing that they need not, and believe no size until as many bytes can be there.
package bolt

import (
	"encoding/binary"
	"errors"
)

// Magic is what a client begins with.
const Magic = 0x6060B017

var (
	errNoHandshake    = errors.New("no Bolt handshake")
	errMessageTooLong = errors.New("message is longer than allowed")
)

// Manifest is the proposal by which a client asks for the list of versions instead of naming some.
const Manifest Version = 0x000001FF

// Version is one version as the handshake has it, with the last proposed one's range in its second byte.
type Version uint32

// MakeVersion gives the version major.minor.
func MakeVersion(major, minor int) Version { return Version(minor<<8 | major) }

func (v Version) Major() int { return int(v & 0xff) }
func (v Version) Minor() int { return int(v >> 8 & 0xff) }

// minorRange is how many minor versions below its own a proposal means as well.
func (v Version) minorRange() int { return int(v >> 16 & 0xff) }

// Spoken is what this package speaks, the best first.
var SupportedVersions = []Version{MakeVersion(5, 8), MakeVersion(5, 7), MakeVersion(5, 6), MakeVersion(5, 5), MakeVersion(5, 4), MakeVersion(5, 3), MakeVersion(5, 2), MakeVersion(5, 1), MakeVersion(5, 0), MakeVersion(4, 4)}

// Handshake takes a client's opening: the magic number and four proposals. It gives the first proposal's best version
// that is spoken here, Manifest if that is asked for before any of them, 0 if none is spoken; size is 0 if more is
// needed.
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

// AppendVersion writes the version that was chosen, 0 for none.
func AppendVersion(dst []byte, v Version) []byte {
	return binary.BigEndian.AppendUint32(dst, uint32(v))
}

// AppendManifest answers a client that asked for the list: Manifest, how many ranges, the ranges, no capabilities.
func AppendManifest(dst []byte) []byte {
	dst = AppendVersion(dst, Manifest)
	dst = append(dst, 2)
	dst = AppendVersion(dst, MakeVersion(5, 8)|8<<16)
	dst = AppendVersion(dst, MakeVersion(4, 4))
	return append(dst, 0)
}

// ReadChosenVersion takes a client's answer to the manifest: one version, and the capabilities it takes up, of which there are
// none. size is 0 if more is needed.
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

// AppendHandshake writes a front's opening to a store: all that is spoken here, as ranges.
func AppendHandshake(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, Magic)
	dst = AppendVersion(dst, MakeVersion(5, 8)|8<<16)
	dst = AppendVersion(dst, MakeVersion(4, 4))
	dst = AppendVersion(dst, 0)
	return AppendVersion(dst, 0)
}

// Reader finds messages in a stream of chunks. It remembers how far it has looked, so that chunks of one byte do not
// make it look again at all that came before.
type Reader struct {
	MaxSize  int // bytes of a message with its headers
	scanned  int // bytes of the present message that were looked at, with their headers
	bodySize int // bytes of its body among them
	chunks   int
	joined   []byte // the body, once it stands in more than one chunk
}

// Next takes the next message off the front of buf, which holds all that came and was not taken yet: its body and the
// size of it with its headers, 0 if more is needed. Chunks that mean nothing are taken with an empty body. The
// body is good until the next call.
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
		if r.scanned+2+n+2 > r.MaxSize { // Danger: to chunks of one byte come two of header, and all must fit the ring
			return nil, 0, errMessageTooLong
		}
		if len(buf) < r.scanned+2+n {
			return nil, 0, nil
		}
		if r.chunks == 1 { // what was one chunk so far
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

// Free gives back what a long message has left behind.
func (r *Reader) Free() { r.joined = nil }

const maxChunkSize = 0xffff

// BeginMessage starts a message on dst; End, given what Begin gave, puts its chunk headers in.
func BeginMessage(dst []byte) ([]byte, int) { return append(dst, 0, 0), len(dst) }

// EndMessage ends the message that starts at at. One longer than a chunk is cut into several.
func EndMessage(dst []byte, at int) []byte {
	n := len(dst) - at - 2
	if n <= maxChunkSize {
		binary.BigEndian.PutUint16(dst[at:], uint16(n))
		return append(dst, 0, 0)
	}
	more := (n - 1) / maxChunkSize // headers beside the first
	dst = append(dst, make([]byte, 2*more)...)
	for k := more; k > 0; k-- { // from the last chunk on, each moved up by the headers before it
		from := at + 2 + k*maxChunkSize
		part := min(n-k*maxChunkSize, maxChunkSize)
		copy(dst[from+2*k:from+2*k+part], dst[from:from+part])
		binary.BigEndian.PutUint16(dst[from+2*k-2:], uint16(part))
	}
	binary.BigEndian.PutUint16(dst[at:], maxChunkSize)
	return append(dst, 0, 0)
}

// AppendRaw writes a message whose body is there already.
func AppendRaw(dst, body []byte) []byte {
	dst, at := BeginMessage(dst)
	return EndMessage(append(dst, body...), at)
}
