package routescodec

import (
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec/routespb"
)

// EncodeOrder encodes an evacuation order as an entry of the control log.
func EncodeOrder(o routes.EvacuationOrder) ([]byte, error) {
	return proto.Marshal(&routespb.Publication{Evacuation: &routespb.EvacuationOrder{Zone: string(o.Zone), End: o.End, BasedOn: o.BasedOn}})
}

// DecodeEntry decodes an entry of the control log, which is either an evacuation order or a publication.
func DecodeEntry(data []byte) (routes.Publication, *routes.EvacuationOrder, error) {
	var entry routespb.Publication
	if err := proto.Unmarshal(data, &entry); err != nil {
		return routes.Publication{}, nil, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "an entry of the control log cannot be decoded")
	}
	if o := entry.GetEvacuation(); o != nil {
		if o.GetZone() == "" {
			return routes.Publication{}, nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "an evacuation order names no availability zone")
		}
		return routes.Publication{}, &routes.EvacuationOrder{Zone: model.AvailabilityZone(o.GetZone()), End: o.GetEnd(), BasedOn: o.GetBasedOn()}, nil
	}
	p, err := publicationFrom(&entry)
	return p, nil, err
}

// EncodeState encodes the replicated state: the newest publication as encoded by Encode, which is empty before the first one, and the
// evacuations. Without evacuations it equals the publication, so that earlier releases read it.
func EncodeState(publication []byte, e routes.Evacuations) ([]byte, error) {
	if e.Revision == 0 {
		return publication, nil
	}
	evacuations, err := proto.Marshal(&routespb.Publication{Evacuations: EvacuationsToProto(e)})
	if err != nil {
		return nil, err
	}
	// Encoded messages that follow each other are read as one with the fields of both.
	return append(publication[:len(publication):len(publication)], evacuations...), nil
}

// State is the decoded replicated state.
type State struct {
	// Publication has no table before the first publication. Encoded is the publication as encoded by Encode, or empty.
	Publication routes.Publication
	Encoded     []byte
	Evacuations routes.Evacuations
}

// DecodeState decodes the output of EncodeState and the snapshots of earlier releases, which hold a publication alone.
func DecodeState(data []byte) (State, error) {
	var message routespb.Publication
	if err := proto.Unmarshal(data, &message); err != nil {
		return State{}, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "the published routes and evacuations cannot be decoded")
	}
	s := State{Evacuations: EvacuationsFromProto(message.GetEvacuations())}
	if message.GetTable() == nil {
		return s, nil
	}
	var err error
	if s.Publication, err = publicationFrom(&message); err != nil {
		return State{}, err
	}
	message.Evacuations, message.Evacuation = nil, nil
	s.Encoded, err = proto.Marshal(&message)
	return s, err
}

// EvacuationsToProto returns the message of evacuations.
func EvacuationsToProto(e routes.Evacuations) *routespb.Evacuations {
	out := &routespb.Evacuations{Revision: e.Revision}
	for _, z := range e.Zones {
		out.Zones = append(out.Zones, string(z))
	}
	return out
}

// EvacuationsFromProto returns the evacuations of a message, or those of revision 0 for none.
func EvacuationsFromProto(message *routespb.Evacuations) routes.Evacuations {
	e := routes.Evacuations{Revision: message.GetRevision()}
	for _, z := range message.GetZones() {
		e.Zones = append(e.Zones, model.AvailabilityZone(z))
	}
	return e
}

// EncodeOrderResult encodes the revision in force after an evacuation order, and whether the order had no effect because it was based
// on another one.
func EncodeOrderResult(revision uint64, conflict bool) ([]byte, error) {
	return proto.Marshal(&routespb.Result{EvacuationsRevision: revision, Conflict: conflict})
}

// DecodeOrderResult decodes the output of EncodeOrderResult. A conflict is an error of kind conflict.
func DecodeOrderResult(data []byte) (revision uint64, err error) {
	var r routespb.Result
	switch err := proto.Unmarshal(data, &r); {
	case err != nil || len(data) == 0:
		return 0, errs.New(errs.KindUnknownOutcome, "send the order again", "the result of an evacuation order cannot be decoded")
	case r.GetError() != "":
		return 0, errs.New(errs.KindUnavailable, "run the same release on all VMs", "the control group refused the evacuation order: %s", r.GetError())
	case r.GetConflict():
		return 0, errs.New(errs.KindConflict, "read the evacuations and send the order again", "the evacuation order is based on another revision than %d, which is in force", r.GetEvacuationsRevision())
	case r.GetEvacuationsRevision() == 0:
		return 0, errs.New(errs.KindUnknownOutcome, "send the order again", "the result of an evacuation order states no revision")
	}
	return r.GetEvacuationsRevision(), nil
}
