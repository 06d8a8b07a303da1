package cli

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// checkResult is the output of `check`.
type checkResult struct {
	Settings string        `json:"settings,omitempty"`
	System   string        `json:"system,omitempty"`
	Seats    int           `json:"seats,omitempty"`
	Sites    []siteSummary `json:"sites,omitempty"`
}

// siteSummary describes one site of a valid configuration.
type siteSummary struct {
	Name              string   `json:"name"`
	AvailabilityZones []string `json:"availability_zones"`
	Services          int      `json:"services"`
}

// settingInfo is one line of `check --list-settings`.
type settingInfo struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Default string `json:"default,omitempty"`
	Help    string `json:"help"`
}

func newCheck(out *outputFlag) *cobra.Command {
	var settingsFile, base, overlays string
	var list bool
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings and configuration offline",
		Long:  "Checks the settings file of a process, or the operators' configuration, or both, without any VM.",
		Example: "  chestnuttiller check --settings vm1.ini\n" +
			"  chestnuttiller check --base base.ini --overlays overlays\n  chestnuttiller check --list-settings",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if list {
				return printSettings(cmd, out)
			}
			if settingsFile == "" && base == "" {
				return errs.New(errs.KindInvalid, "add --settings or --base", "nothing to check")
			}
			r, err := check(settingsFile, base, overlays)
			if err != nil {
				return err
			}
			return out.print(cmd, r, r.writeText)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file of a process")
	cmd.Flags().StringVar(&base, "base", "", "base file of the configuration")
	cmd.Flags().StringVar(&overlays, "overlays", "", "folder with the overlays SITE.site.ini")
	cmd.Flags().BoolVar(&list, "list-settings", false, "list all keys of settings and configuration")
	return cmd
}

func check(settingsFile, base, overlays string) (*checkResult, error) {
	r := &checkResult{}
	var vm *settings.Settings
	if settingsFile != "" {
		var err error
		if vm, err = settings.Load(settingsFile, kernel.SettingsKeys()); err != nil {
			return nil, err
		}
		r.Settings = settingsFile
	}
	if base == "" {
		return r, nil
	}
	files, err := readConfigFiles(base, overlays)
	if err != nil {
		return nil, err
	}
	c, err := config.Parse(files)
	if err != nil {
		return nil, err
	}
	if vm != nil && vm.HasRole(settings.RoleEntry) && c.SiteOf(vm.AvailabilityZone) == nil {
		return nil, errs.New(errs.KindInvalid, "add the availability zone to a [site NAME] of the base file",
			"%s: availability zone %q belongs to no site, so the VM would serve nothing", settingsFile, vm.AvailabilityZone)
	}
	r.System, r.Seats = c.Name, c.Seats
	for _, s := range c.Sites {
		r.Sites = append(r.Sites, summarizeSite(s))
	}
	slices.SortFunc(r.Sites, func(a, b siteSummary) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return r, nil
}

func summarizeSite(s *model.SiteConfig) siteSummary {
	out := siteSummary{Name: string(s.Name), Services: len(s.Services)}
	for _, z := range s.AvailabilityZones {
		out.AvailabilityZones = append(out.AvailabilityZones, string(z))
	}
	return out
}

func (r *checkResult) writeText(w io.Writer) {
	if r.Settings != "" {
		fmt.Fprintf(w, "settings %s: ok\n", r.Settings)
	}
	if r.System == "" {
		return
	}
	fmt.Fprintf(w, "configuration of %s: ok, %d seats\n", r.System, r.Seats)
	for _, s := range r.Sites {
		fmt.Fprintf(w, "  site %s: availability zones %v, %d services\n", s.Name, s.AvailabilityZones, s.Services)
	}
}

func printSettings(cmd *cobra.Command, out *outputFlag) error {
	var all []settingInfo
	for _, k := range settings.Keys(kernel.SettingsKeys()) {
		all = append(all, settingInfo{"settings", k.Section, k.Name, k.Default, k.Help})
	}
	for _, k := range config.Keys() {
		all = append(all, settingInfo{"configuration", k.Section, k.Name, k.Default, k.Help})
	}
	return out.print(cmd, all, func(w io.Writer) {
		for _, s := range all {
			fmt.Fprintf(w, "%s [%s] %s = %s  ; %s\n", s.File, s.Section, s.Key, s.Default, s.Help)
		}
	})
}
