package dissemination

import (
	"context"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
)

// overlaySuffix follows the name of the site in the name of an overlay file.
const overlaySuffix = ".site.ini"

// localMinimumCoverage lets a developer's system answer queries while only half of the data is available.
const localMinimumCoverage = "0.5"

// kindLocalLayout is the kind of message that carries a layout that a VM committed locally to the other VMs of a system
// without control VMs.
const kindLocalLayout = "state.local_layout"

// localState replaces the replicated state when no VM has the role control. It is meant for development: the layouts
// that it commits are lost when the process ends.
type localState struct {
	config   *model.Config
	site     *model.SiteConfig
	revision uint64
	seat     model.Seat
	layouts  map[model.ServiceName]map[model.LayoutNumber]*model.Layout
	// transport sends layouts to the other VMs; nil if there is none.
	transport kernel.PeerTransport
}

func hasControl(s *settings.Settings) bool {
	return s.HasRole(settings.RoleControl) ||
		slices.ContainsFunc(s.Peers, func(p settings.Peer) bool { return p.HasRole(settings.RoleControl) })
}

func newLocalState(ctx *kernel.Context) (*localState, error) {
	seat := localSeat(ctx.Settings)
	c, err := localConfig(ctx.Settings)
	if err != nil {
		return nil, err
	}
	c.Revision = 1
	s := &localState{
		config: c, site: c.SiteOf(ctx.AvailabilityZone), seat: seat, revision: 1,
		layouts: map[model.ServiceName]map[model.LayoutNumber]*model.Layout{},
	}
	// A VM without peers has no transport.
	s.transport, _ = kernel.Lookup[kernel.PeerTransport](ctx)
	return s, nil
}

// shareLayouts exchanges the layouts that VMs commit locally.
func (m *Module) shareLayouts() {
	t := m.local.transport
	if t == nil {
		return
	}
	t.Handle(kindLocalLayout, func(ctx context.Context, _ model.VMName, data []byte) ([]byte, error) {
		command, err := statecodec.DecodeCommand(data)
		if err != nil {
			return nil, err
		}
		if c, ok := command.(state.CommitLayout); ok {
			return nil, m.commitLocally(ctx, &c.Layout)
		}
		return nil, nil
	})
	t.OnChange(func(p kernel.PeerStatus) {
		if !p.Connected {
			return
		}
		for _, layouts := range m.control.View().Layouts {
			for _, l := range layouts {
				m.local.sendLayout(l, p.VM)
			}
		}
	})
}

func (s *localState) sendLayout(l *model.Layout, to model.VMName) {
	if data, err := statecodec.EncodeCommand(state.CommitLayout{Layout: *l}); err == nil {
		s.transport.Send(to, kernel.PeerMessage{Kind: kindLocalLayout, Payload: data})
	}
}

// localConfig reads the files of local_config, or builds a configuration with default settings for the listed services.
func localConfig(s *settings.Settings) (*model.Config, error) {
	if folder := s.String(section, "local_config"); folder != "" {
		files, err := readConfigFolder(folder)
		if err != nil {
			return nil, err
		}
		return config.Parse(files)
	}
	base := "[system]\nname = " + s.Cluster + "\nseats = " + strconv.Itoa(localSeat(s).Seats) + "\n[site local]\navailability_zones = " + joinZones(zones(s)) + "\n"
	names := s.List(section, "services")
	if len(names) == 0 {
		return &model.Config{Name: s.Cluster, Sites: map[model.SiteName]*model.SiteConfig{}}, nil
	}
	base += "services = " + strings.Join(names, ", ") + "\n[defaults]\nminimum_coverage = " + localMinimumCoverage + "\n"
	for _, n := range names {
		base += "[service " + n + "]\n"
	}
	return config.Parse(model.ConfigFiles{Base: base})
}

// readConfigFolder reads base.ini and the overlays NAME.site.ini of a folder.
func readConfigFolder(folder string) (model.ConfigFiles, error) {
	const remedy = "name a folder with base.ini and overlays NAME.site.ini"
	files := model.ConfigFiles{Overlays: map[model.SiteName]string{}}
	base, err := os.ReadFile(filepath.Join(folder, "base.ini"))
	if err != nil {
		return files, errs.Wrap(err, errs.KindInvalid, remedy, "[%s] local_config cannot be read", section)
	}
	files.Base = string(base)
	overlays, err := filepath.Glob(filepath.Join(folder, "*"+overlaySuffix))
	if err != nil {
		return files, errs.Wrap(err, errs.KindInvalid, remedy, "[%s] local_config cannot be read", section)
	}
	for _, path := range overlays {
		text, err := os.ReadFile(path)
		if err != nil {
			return files, errs.Wrap(err, errs.KindInvalid, remedy, "[%s] local_config cannot be read", section)
		}
		files.Overlays[model.SiteName(strings.TrimSuffix(filepath.Base(path), overlaySuffix))] = string(text)
	}
	return files, nil
}

// zones returns the availability zones of this VM and its peers, sorted and without duplicates.
func zones(s *settings.Settings) []model.AvailabilityZone {
	out := []model.AvailabilityZone{s.AvailabilityZone}
	for _, p := range s.Peers {
		out = append(out, p.AvailabilityZone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func joinZones(zones []model.AvailabilityZone) string {
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = string(z)
	}
	return strings.Join(names, ", ")
}

// localSeat returns the seat of this VM: its position among the entry VMs of the settings, in the order of their names.
func localSeat(s *settings.Settings) model.Seat {
	names := []model.VMName{s.VM}
	for _, p := range s.Peers {
		if p.HasRole(settings.RoleEntry) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return model.Seat{Index: slices.Index(names, s.VM), Seats: len(names), PreviousSeats: len(names)}
}

func (s *localState) services() map[model.ServiceName]*model.ServiceConfig {
	if s.site == nil {
		return nil
	}
	return s.site.Services
}

func (s *localState) contribute(now time.Time, v *kernel.View) {
	v.Config, v.Site, v.StateRevision, v.ControlContact = s.config, s.site, s.revision, now
	v.Seat, v.Layouts = s.seat, s.layouts
}

// commitLayout commits the first layout of each number and refuses different ones. Published maps are not modified.
func (s *localState) commitLayout(l *model.Layout) error {
	if old := s.layouts[l.Service][l.Number]; old != nil {
		if old.Digest() == l.Digest() {
			return nil
		}
		return errs.New(errs.KindConflict, "use a new layout number for other shards or shares", "layout %d of service %q is already committed with other shards", l.Number, l.Service)
	}
	next := maps.Clone(s.layouts)
	serviceLayouts := maps.Clone(next[l.Service])
	if serviceLayouts == nil {
		serviceLayouts = map[model.LayoutNumber]*model.Layout{}
	}
	serviceLayouts[l.Number] = l
	next[l.Service] = serviceLayouts
	s.layouts = next
	s.revision++
	if s.transport != nil {
		for _, p := range s.transport.Peers() {
			s.sendLayout(l, p.VM)
		}
	}
	return nil
}
