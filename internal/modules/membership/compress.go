package membership

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

const (
	// minCompressedBytes is the size from which a reply is compressed. Shorter ones would hardly become smaller.
	minCompressedBytes = 512
	// maxReplyBytes limits a reply after it was decompressed. A table of 100,000 leaves has about 10 MB.
	maxReplyBytes = 32 << 20
	// keptReplies is the number of compressed replies that are kept. Most VMs get the same ones at the same time.
	keptReplies = 4
)

// replyEncoder encodes the replies to watch requests. It is safe for concurrent use.
type replyEncoder struct {
	mu sync.Mutex
	// kept holds the last compressed replies, and next the place of the next one.
	kept [keptReplies]keptReply
	next int
}

type keptReply struct {
	// hash is that of the reply before it was compressed.
	hash uint64
	data []byte
}

// encode encodes a reply, and compresses a long one if its receiver accepts that.
func (e *replyEncoder) encode(reply *membershippb.WatchReply, acceptsCompressed bool) ([]byte, error) {
	data, err := proto.Marshal(reply)
	if err != nil || !acceptsCompressed || len(data) < minCompressedBytes {
		return data, err
	}
	hash := xxhash.Sum64(data)
	e.mu.Lock()
	defer e.mu.Unlock() // Another request for the same reply waits for the compressed one.
	for _, k := range e.kept {
		if k.data != nil && k.hash == hash {
			return k.data, nil
		}
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	out, err := proto.Marshal(&membershippb.WatchReply{Compressed: compressed})
	if err != nil {
		return nil, err
	}
	e.kept[e.next] = keptReply{hash, out}
	e.next = (e.next + 1) % keptReplies
	return out, nil
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeReply decodes a reply, compressed or not.
func decodeReply(data []byte) (*membershippb.WatchReply, error) {
	const remedy = "run the same release on all VMs"
	var reply membershippb.WatchReply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, remedy, "answer to a watch request cannot be decoded")
	}
	if len(reply.GetCompressed()) == 0 {
		return &reply, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(reply.GetCompressed())), maxReplyBytes+1))
	if err == nil && len(plain) > maxReplyBytes {
		err = errs.New(errs.KindTooLarge, remedy, "it has more than %d bytes", maxReplyBytes)
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, remedy, "answer to a watch request cannot be decompressed")
	}
	var inner membershippb.WatchReply
	if err := proto.Unmarshal(plain, &inner); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, remedy, "compressed answer to a watch request cannot be decoded")
	}
	return &inner, nil
}
