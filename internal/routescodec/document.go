package routescodec

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec/routespb"
)

const (
	// maxPlainBytes is the size of a publication above which its document is compressed, so that it fits into an entry of the control log
	// together with its table. Earlier releases, which read no compressed documents, accepted no larger entry.
	maxPlainBytes = 768 << 10
	// maxDocumentBytes limits a document after it was decompressed.
	maxDocumentBytes = 16 << 20
)

// compressLong compresses the document of a long publication.
func compressLong(p *routespb.Publication) error {
	if proto.Size(p) <= maxPlainBytes {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return err
	}
	if _, err := w.Write(p.GetDocument()); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	p.Document, p.CompressedDocument = nil, out.Bytes()
	return nil
}

// documentOf returns the document of a publication as the operator sent it.
func documentOf(p *routespb.Publication) ([]byte, error) {
	if len(p.GetCompressedDocument()) == 0 {
		return p.GetDocument(), nil
	}
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.GetCompressedDocument())), maxDocumentBytes+1))
	if err == nil && len(document) > maxDocumentBytes {
		err = errs.New(errs.KindTooLarge, "run the same release on all VMs", "it has more than %d bytes", maxDocumentBytes)
	}
	return document, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "the document of a publication cannot be decompressed")
}

// publicationFrom returns the publication of a message with its validated table.
func publicationFrom(message *routespb.Publication) (p routes.Publication, err error) {
	if p.Document, err = documentOf(message); err != nil {
		return p, err
	}
	p.Table, err = TableFromProto(message.GetTable())
	return p, err
}
