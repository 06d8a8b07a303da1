package cli

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// readConfigFiles reads a base file and the overlays of a folder. If the folder name is empty, there are no overlays.
func readConfigFiles(base, overlays string) (model.ConfigFiles, error) {
	files := model.ConfigFiles{Overlays: map[model.SiteName]string{}}
	var err error
	if files.Base, err = readConfigFile(base); err != nil || overlays == "" {
		return files, err
	}
	entries, err := os.ReadDir(overlays)
	if err != nil {
		return files, errs.Wrap(err, errs.KindInvalid, "name a readable folder", "cannot read overlays")
	}
	for _, e := range entries {
		site, ok := strings.CutSuffix(e.Name(), config.OverlaySuffix)
		if !ok || e.IsDir() {
			// An overlay with a misspelt suffix would be ignored without notice.
			if strings.HasSuffix(e.Name(), ".ini") {
				return files, errs.New(errs.KindInvalid, "name it SITE"+config.OverlaySuffix+" or move it elsewhere", "%s is no overlay", filepath.Join(overlays, e.Name()))
			}
			continue
		}
		if files.Overlays[model.SiteName(site)], err = readConfigFile(filepath.Join(overlays, e.Name())); err != nil {
			return files, err
		}
	}
	return files, nil
}

func readConfigFile(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", errs.Wrap(err, errs.KindInvalid, "name a readable file", "cannot read the configuration")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, config.MaxTotalBytes+1))
	return string(data), errs.Wrap(err, errs.KindInvalid, "name a readable file", "cannot read the configuration")
}

// writeConfigFiles writes files in the form that readConfigFiles reads.
func writeConfigFiles(folder string, files map[string]string) error {
	overlays := filepath.Join(folder, "overlays")
	if err := os.MkdirAll(overlays, 0o755); err != nil {
		return errs.Wrap(err, errs.KindInvalid, "name a writable folder", "cannot write the configuration")
	}
	for name, text := range files {
		path := filepath.Join(folder, config.BaseName)
		if name != "" {
			path = filepath.Join(overlays, filepath.Base(name)+config.OverlaySuffix)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return errs.Wrap(err, errs.KindInvalid, "name a writable folder", "cannot write the configuration")
		}
	}
	return nil
}
