package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// Type is the type of a record. The log itself interprets only headers and states; its user interprets the others.
type Type uint8

// The types of records.
const (
	// TypeEntry holds an entry of the replicated log; Record.Index is its index.
	TypeEntry Type = 1
	// TypeState holds the newest hard state. Each segment starts with a copy of it, so that older segments can be
	// removed.
	TypeState Type = 2
	// TypeReset marks that the replicated log restarts after a log snapshot at Record.Index.
	TypeReset Type = 3
	// typeHeader is the first record of a segment. Its data holds the magic bytes and the number of the segment.
	typeHeader Type = 255
)

// Record is one record of the log.
type Record struct {
	Type  Type
	Index uint64
	Data  []byte
}

// The layout of a record, little endian, padded to alignBytes:
//
//	0  length of the data, 4 bytes
//	4  CRC-32C of everything after it, 4 bytes
//	8  sequence number, 8 bytes
//	16 group, 8 bytes: the sequence number of the first record that was not synced when this one was written
//	24 index, 8 bytes
//	32 type, 1 byte, and 7 bytes of zeros
//	40 data
const (
	headerBytes = 40
	alignBytes  = 8
	crcStart    = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a stored record with its sequence number, its sync group and its size in the segment.
type frame struct {
	Record
	seq   uint64
	group uint64
	size  int
}

func frameBytes(data int) int {
	return (headerBytes + data + alignBytes - 1) / alignBytes * alignBytes
}

// appendFrame encodes a record at the end of buf.
func appendFrame(buf []byte, r Record, seq, group uint64) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, frameBytes(len(r.Data)))...)
	f := buf[start:]
	binary.LittleEndian.PutUint32(f, uint32(len(r.Data)))
	binary.LittleEndian.PutUint64(f[8:], seq)
	binary.LittleEndian.PutUint64(f[16:], group)
	binary.LittleEndian.PutUint64(f[24:], r.Index)
	f[32] = byte(r.Type)
	copy(f[headerBytes:], r.Data)
	// The checksum covers the length as well: with a wrong length, other bytes would be checked.
	sum := crc32.Checksum(f[:4], castagnoli)
	sum = crc32.Update(sum, castagnoli, f[crcStart:headerBytes+len(r.Data)])
	binary.LittleEndian.PutUint32(f[4:], sum)
	return buf
}

// parseFrame decodes the record at the start of buf. It returns false when there is no complete, undamaged record. The
// data of the record shares memory with buf.
func parseFrame(buf []byte) (frame, bool) {
	if len(buf) < headerBytes {
		return frame{}, false
	}
	length := int64(binary.LittleEndian.Uint32(buf))
	seq := binary.LittleEndian.Uint64(buf[8:])
	if seq == 0 || length > int64(len(buf)-headerBytes) {
		return frame{}, false
	}
	end := headerBytes + int(length)
	sum := crc32.Checksum(buf[:4], castagnoli)
	sum = crc32.Update(sum, castagnoli, buf[crcStart:end])
	if binary.LittleEndian.Uint32(buf[4:]) != sum {
		return frame{}, false
	}
	return frame{
		Record: Record{Type: Type(buf[32]), Index: binary.LittleEndian.Uint64(buf[24:]), Data: buf[headerBytes:end:end]},
		seq:    seq,
		group:  binary.LittleEndian.Uint64(buf[16:]),
		size:   min(frameBytes(int(length)), len(buf)),
	}, true
}
