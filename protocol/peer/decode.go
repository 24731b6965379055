package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxDepth bounds how deeply lists and maps are nested.
	maxDepth = 32
	// maxFields bounds the fields of a struct; a longer list is one of equal elements.
	maxFields = 64
)

// Decode decodes a payload that Encode returned. msgpack allocates a list of the declared
// length before it reads the elements, so the structure is checked first: the memory taken is
// bounded by a multiple of the payload's size.
func Decode(payload []byte, into any) error {
	if err := checkStructure(payload); err != nil {
		return err
	}
	return msgpack.Unmarshal(payload, into)
}

// container is a list or a map that has not been read to its end.
type container struct {
	remaining int // elements, of a map keys and values
	// records is set for a list of structs, none of which may be shorter than its type.
	records bool
}

// checkStructure returns errMalformed unless content begins with a complete value, without
// lists or maps that are longer than their bytes, nested too deeply, or filled with structs
// that omit their fields.
func checkStructure(content []byte) error {
	var stack [maxDepth]container
	depth := 0
	for position := 0; ; {
		kind, length, size, ok := readHeader(content[position:])
		position += size
		if !ok || length > len(content)-position {
			return eris.Wrapf(errMalformed, "truncated at byte %d", position)
		}
		if depth > 0 {
			parent := &stack[depth-1]
			if parent.records && (kind == kindNil || kind == kindMap || kind == kindList && length == 0) {
				return eris.Wrapf(errMalformed, "incomplete element before byte %d", position)
			}
			parent.remaining--
		}
		switch {
		case kind != kindList && kind != kindMap:
			position += length
		case length == 0:
		case depth == maxDepth:
			return eris.Wrapf(errMalformed, "nested too deeply at byte %d", position)
		default:
			stack[depth] = container{remaining: length, records: kind == kindList && length > maxFields}
			depth++
		}
		for depth > 0 && stack[depth-1].remaining == 0 {
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

type valueKind int

const (
	kindScalar valueKind = iota
	kindNil
	kindList
	kindMap
)

// readHeader reads the header of a value, which has size bytes. It is followed by length more
// bytes of a scalar, or by length elements. ok is false if the header is invalid or truncated.
// Source of the codes: the msgpack specification, "Formats".
func readHeader(content []byte) (kind valueKind, length, size int, ok bool) {
	if len(content) == 0 {
		return kindScalar, 0, 0, false
	}
	code := content[0]
	switch {
	case code <= 0x7f || code >= 0xe0:
		return kindScalar, 0, 1, true
	case code <= 0x8f:
		return kindMap, 2 * int(code&0x0f), 1, true
	case code <= 0x9f:
		return kindList, int(code & 0x0f), 1, true
	case code <= 0xbf:
		return kindScalar, int(code & 0x1f), 1, true
	}
	switch code {
	case 0xc0:
		return kindNil, 0, 1, true
	case 0xc2, 0xc3:
		return kindScalar, 0, 1, true
	case 0xca, 0xcb:
		return kindScalar, 4 << (code - 0xca), 1, true
	case 0xcc, 0xcd, 0xce, 0xcf:
		return kindScalar, 1 << (code - 0xcc), 1, true
	case 0xd0, 0xd1, 0xd2, 0xd3:
		return kindScalar, 1 << (code - 0xd0), 1, true
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // fixed extension, with a byte for its type
		return kindScalar, 1<<(code-0xd4) + 1, 1, true
	case 0xc4, 0xc5, 0xc6:
		return readLength(content, kindScalar, 1<<(code-0xc4), 1, 0)
	case 0xc7, 0xc8, 0xc9: // extension, with a byte for its type
		return readLength(content, kindScalar, 1<<(code-0xc7), 1, 1)
	case 0xd9, 0xda, 0xdb:
		return readLength(content, kindScalar, 1<<(code-0xd9), 1, 0)
	case 0xdc, 0xdd:
		return readLength(content, kindList, 2<<(code-0xdc), 1, 0)
	case 0xde, 0xdf:
		return readLength(content, kindMap, 2<<(code-0xde), 2, 0)
	}
	return kindScalar, 0, 1, false
}

// readLength reads a length of width bytes after the code, in units of the given factor.
func readLength(content []byte, kind valueKind, width, factor, extra int) (valueKind, int, int, bool) {
	if len(content) <= width {
		return kind, 0, 1, false
	}
	var encoded [8]byte
	copy(encoded[8-width:], content[1:1+width])
	return kind, factor*int(binary.BigEndian.Uint64(encoded[:])) + extra, 1 + width, true
}
