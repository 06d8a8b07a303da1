package forward

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record in the reply of a shard.
const RecordBytes = 16

// Merge returns the greatest records of several replies, greatest first. Equal records are all kept. Bytes after the
// last complete record of a reply are ignored.
func Merge(bodies [][]byte, top int) []byte {
	n := 0
	for _, b := range bodies {
		n += len(b) / RecordBytes
	}
	records := make([][]byte, 0, n)
	for _, b := range bodies {
		for ; len(b) >= RecordBytes; b = b[RecordBytes:] {
			records = append(records, b[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
