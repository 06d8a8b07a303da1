package peer

import (
	"errors"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/peer/peerpb"
)

// The protocol versions that this program supports.
const (
	protocolVersion       = 1
	oldestProtocolVersion = 1
)

// maxHelloBytes limits the first message of a connection, because its sender is not identified yet.
const maxHelloBytes = 4 << 10

// checkHello returns an error if a connection to or from the sender of a hello must be refused.
func checkHello(own, remote *peerpb.Hello) error {
	if remote.GetVm() == "" {
		return errs.New(errs.KindInvalid, "look for a process that is not a peer", "hello has no VM name")
	}
	if remote.GetCluster() != own.GetCluster() {
		return errs.New(errs.KindInvalid, "correct [vm] cluster or the addresses of the peers", "VM %q belongs to cluster %q, this VM to %q", remote.GetVm(), remote.GetCluster(), own.GetCluster())
	}
	if remote.GetVersion() < own.GetOldestVersion() || own.GetVersion() < remote.GetOldestVersion() {
		return errs.New(errs.KindInvalid, "upgrade the older of the two VMs", "VM %q supports protocol versions %d to %d, this VM %d to %d",
			remote.GetVm(), remote.GetOldestVersion(), remote.GetVersion(), own.GetOldestVersion(), own.GetVersion())
	}
	if remote.GetVm() == own.GetVm() {
		return errs.New(errs.KindInvalid, "give each VM its own name and address", "another process uses the name of this VM, %q, or a peer is configured with the address of this VM", own.GetVm())
	}
	return nil
}

// checkPeer checks the hello of a VM that this VM connected to, including its name.
func checkPeer(own, remote *peerpb.Hello, expected model.VMName) error {
	if err := checkHello(own, remote); err != nil {
		return err
	}
	if model.VMName(remote.GetVm()) != expected {
		return errs.New(errs.KindInvalid, "correct the address of [peer "+string(expected)+"]", "VM %q answers at the address of %q", remote.GetVm(), expected)
	}
	return nil
}

func errorToProto(err error) *peerpb.Error {
	var e *errs.Error
	if errors.As(err, &e) {
		return &peerpb.Error{Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy}
	}
	return &peerpb.Error{Kind: string(errs.KindInternal), Message: err.Error()}
}

func errorFromProto(e *peerpb.Error) error {
	if e == nil {
		return nil
	}
	return errs.New(errs.Kind(e.GetKind()), e.GetRemedy(), "%s", e.GetMessage())
}
