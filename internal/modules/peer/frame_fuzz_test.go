package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/modules/peer/peerpb"
)

// Guards against frames that crash the reader, or that change when they are encoded and decoded again.
func FuzzReadMessage(f *testing.F) {
	const limit = 1 << 16
	var good bytes.Buffer
	if err := writeMessage(&good, &peerpb.Frame{Kind: "echo", Payload: []byte("x"), TimeoutMs: 5}, limit); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in peerpb.Frame
		if err := readMessage(bytes.NewReader(data), &in, limit); err != nil {
			return
		}
		var b bytes.Buffer
		if err := writeMessage(&b, &in, 2*limit); err != nil {
			t.Fatal(err)
		}
		var again peerpb.Frame
		if err := readMessage(&b, &again, 2*limit); err != nil || !proto.Equal(&in, &again) {
			t.Fatalf("frame %v was decoded again as %v: %v", &in, &again, err)
		}
	})
}
