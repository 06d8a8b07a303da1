package controllog

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/inifile"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/wal"
)

const identityName = "identity.ini"

// identity identifies the VM and the replica that own a data folder. It is written before the replica sends any
// message.
type identity struct {
	Cluster string
	VM      model.VMName
	Replica consensus.ReplicaID
	// Initial lists the VMs that form the group together. It is empty for a VM that joins.
	Initial []model.VMName
	// Group is the name of the replica's group. Members are the first members of the group if the replica is one of
	// them.
	Group   string
	Members []consensus.Member
	// LogCreated reports whether the log holds records. A replica whose log is missing must not vote again.
	LogCreated bool
}

// Init writes the identity of a first member of a new control group. It implements `chestnuttiller control init`, which
// is run once on each VM of initial_members; the group is formed when all of them have been started.
func Init(s *settings.Settings) error {
	if !s.HasRole(settings.RoleControl) {
		return errs.New(errs.KindInvalid, "add control to [vm] roles", "this VM is not a control VM")
	}
	o := loadOptions(s)
	if err := o.checkInitial(s.VM); err != nil {
		return err
	}
	folder := controlFolder(s)
	if _, found, err := loadIdentity(fsys.OS{}, folder); err != nil || found {
		if err == nil {
			err = errs.New(errs.KindConflict, "start the process; a group is created only once", "%s already holds the identity of a replica", folder)
		}
		return err
	}
	return saveIdentity(fsys.OS{}, folder, identity{Cluster: s.Cluster, VM: s.VM, Replica: newReplicaID(), Initial: o.initial})
}

// replicaIDBytes is the length of a random replica ID, which makes equal IDs of two replicas practically impossible.
const replicaIDBytes = 16

func newReplicaID() consensus.ReplicaID {
	b := make([]byte, replicaIDBytes)
	_, _ = rand.Read(b) // The function never returns an error.
	return consensus.ReplicaID(hex.EncodeToString(b))
}

// groupName derives the name of a group from its first members, so that all of them compute the same name.
func groupName(cluster string, members []consensus.Member) string {
	h := xxhash.New()
	fmt.Fprintf(h, "%q", cluster)
	for _, m := range members {
		fmt.Fprintf(h, "%q%q", m.VM, m.Replica)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func encodeIdentity(id identity) []byte {
	var b strings.Builder
	b.WriteString("; Written by chestnuttiller. Do not edit or copy it: two VMs with one identity would vote twice.\n[identity]\n")
	fmt.Fprintf(&b, "cluster = %s\nvm = %s\nreplica = %s\n", id.Cluster, id.VM, id.Replica)
	if len(id.Initial) > 0 {
		names := make([]string, 0, len(id.Initial))
		for _, vm := range id.Initial {
			names = append(names, string(vm))
		}
		fmt.Fprintf(&b, "initial_members = %s\n", strings.Join(names, ", "))
	}
	if id.Group != "" {
		fmt.Fprintf(&b, "group = %s\nlog_created = %v\n", id.Group, id.LogCreated)
	}
	for _, m := range id.Members {
		fmt.Fprintf(&b, "[member %s]\nreplica = %s\n", m.VM, m.Replica)
	}
	return []byte(b.String())
}

func saveIdentity(files fsys.FS, folder string, id identity) error {
	err := files.MakeFolder(folder)
	if err == nil {
		// The folder itself has to be durable, not only the file in it.
		err = files.SyncFolder(filepath.Dir(folder))
	}
	if err == nil {
		err = fsys.WriteDurably(files, filepath.Join(folder, identityName), encodeIdentity(id))
	}
	return errs.Wrap(err, wal.KindOf(err), "check the data folder", "cannot write the identity in %s", folder)
}

// syncIdentity makes the name of an identity durable that an earlier process wrote, which may have ended before it synced the
// folder.
func syncIdentity(files fsys.FS, folder string) error {
	err := files.SyncFolder(folder)
	return errs.Wrap(err, wal.KindOf(err), "check the data folder", "the folder of the identity %s cannot be synced", folder)
}

func loadIdentity(files fsys.FS, folder string) (id identity, found bool, err error) {
	path := filepath.Join(folder, identityName)
	data, err := fsys.ReadAll(files, path)
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, errs.Wrap(err, errs.KindInternal, "check the data folder", "cannot read %s", path)
	}
	f, err := inifile.Parse(path, data)
	if err != nil {
		return identity{}, false, errs.Wrap(err, errs.KindCorrupt, rejoinRemedy, "%s is damaged", path)
	}
	for _, sec := range f.Sections {
		id.readSection(sec)
	}
	if id.Cluster == "" || id.VM == "" || id.Replica == "" {
		return identity{}, false, errs.New(errs.KindCorrupt, rejoinRemedy, "%s is damaged", path)
	}
	return id, true, nil
}

const rejoinRemedy = "move the control folder away and start the process again, so that the VM joins the control group as a new replica"

const memberPrefix = "member "

func (id *identity) readSection(sec inifile.Section) {
	if vm, ok := strings.CutPrefix(sec.Name, memberPrefix); ok {
		for _, kv := range sec.Keys {
			id.Members = append(id.Members, consensus.Member{VM: model.VMName(vm), Replica: consensus.ReplicaID(kv.Value)})
		}
		return
	}
	for _, kv := range sec.Keys {
		switch kv.Name {
		case "cluster":
			id.Cluster = kv.Value
		case "vm":
			id.VM = model.VMName(kv.Value)
		case "replica":
			id.Replica = consensus.ReplicaID(kv.Value)
		case "group":
			id.Group = kv.Value
		case "log_created":
			id.LogCreated = kv.Value == "true"
		case "initial_members":
			for _, vm := range strings.Split(kv.Value, ",") {
				id.Initial = append(id.Initial, model.VMName(strings.TrimSpace(vm)))
			}
		}
	}
}

// check returns an error for a data folder of another VM or cluster.
func (id identity) check(s *settings.Settings) error {
	if id.Cluster != s.Cluster || id.VM != s.VM {
		return errs.New(errs.KindInvalid, "correct [vm] name, [vm] cluster or [data] folder", "the data folder belongs to VM %q of %q, not to VM %q of %q", id.VM, id.Cluster, s.VM, s.Cluster)
	}
	return nil
}
