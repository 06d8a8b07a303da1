package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// prefixBytes is the size of the big-endian length that precedes each message.
const prefixBytes = 4

// writeMessage writes one length-prefixed message with a single call of Write. It refuses a message over the
// limit before it writes anything.
func writeMessage(w io.Writer, m proto.Message, limit int) error {
	size := proto.Size(m)
	if size > limit {
		return errs.New(errs.KindTooLarge, "split the message, or raise [peer_transport] max_frame_bytes on all VMs", "message has %d bytes, the limit is %d", size, limit)
	}
	data := make([]byte, prefixBytes, prefixBytes+size)
	binary.BigEndian.PutUint32(data, uint32(size))
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, m)
	if err != nil {
		return errs.Wrap(err, errs.KindInternal, "report this message", "message cannot be encoded")
	}
	_, err = w.Write(data)
	return err
}

// readMessage reads one length-prefixed message. An error of kind invalid or too_large means that the sender
// violated the protocol; every other error comes from the connection.
func readMessage(r io.Reader, m proto.Message, limit int) error {
	size, err := readSize(r, limit)
	if err != nil {
		return err
	}
	return readBody(r, size, m)
}

// readSize reads the length that precedes a message.
func readSize(r io.Reader, limit int) (int64, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(limit) {
		return 0, errs.New(errs.KindTooLarge, "raise [peer_transport] max_frame_bytes, or look for a process that is not a peer", "frame announces %d bytes, the limit is %d", size, limit)
	}
	return size, nil
}

// readBody reads a message of a known length. Memory grows with the bytes that arrive and not with the announced
// length, so that a false length allocates nothing.
func readBody(r io.Reader, size int64, m proto.Message) error {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, size); err != nil {
		return err
	}
	if err := proto.Unmarshal(body.Bytes(), m); err != nil {
		return errs.Wrap(err, errs.KindInvalid, "look for a process that is not a peer, or a damaged network path", "frame cannot be decoded")
	}
	return nil
}

// isProtocolError reports whether an error of readMessage means that the sender violated the protocol.
func isProtocolError(err error) bool {
	k := errs.KindOf(err)
	return k == errs.KindInvalid || k == errs.KindTooLarge
}
