package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/agatekeel/agatekeel/core/config"
)

// source holds the objects read from files, and the file of each object.
type source struct {
	objects []config.Object
	files   map[config.Key]string
}

// readObjects reads the objects of the JSON files at paths. For a directory it reads
// every *.json file below it.
func readObjects(paths []string) (source, error) {
	src := source{files: map[config.Key]string{}}
	var errs []error
	for _, path := range paths {
		err := filepath.WalkDir(path, func(file string, d fs.DirEntry, err error) error {
			if err != nil {
				return fmt.Errorf("read objects: %w", err)
			}
			if d.IsDir() || !strings.HasSuffix(file, ".json") && file != path {
				return nil
			}
			errs = append(errs, src.addFile(file)...)
			return nil
		})
		if err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return source{}, errors.Join(errs...)
	}
	if len(src.objects) == 0 {
		return source{}, fmt.Errorf("no objects in %s", strings.Join(paths, " "))
	}
	return src, nil
}

func (s *source) addFile(file string) []error {
	f, err := os.Open(file)
	if err != nil {
		return []error{fmt.Errorf("read objects: %w", err)}
	}
	defer func() { _ = f.Close() }()
	objects, err := config.DecodeObjects(f)
	if err != nil {
		return []error{fmt.Errorf("%s: %w", file, err)}
	}
	var errs []error
	for _, o := range objects {
		if other, duplicate := s.files[o.Key()]; duplicate {
			errs = append(errs, fmt.Errorf("%s: %s: name: is defined in %s too", file, o.Key(), other))
			continue
		}
		s.files[o.Key()] = file
		s.objects = append(s.objects, o)
	}
	return errs
}

// faultErrors joins faults to one error. A fault of an object that was read from a
// file is prefixed with the name of the file.
func (s source) faultErrors(faults []config.Fault) error {
	errs := make([]error, 0, len(faults))
	for _, f := range faults {
		if file, ok := s.files[f.Object]; ok {
			errs = append(errs, fmt.Errorf("%s: %w", file, f))
			continue
		}
		errs = append(errs, f)
	}
	return errors.Join(errs...)
}

// parseKeys parses keys of the form Kind/name.
func parseKeys(names []string) ([]config.Key, error) {
	keys := make([]config.Key, 0, len(names))
	for _, name := range names {
		k, err := config.ParseKey(name)
		if err != nil {
			return nil, usageError("%v", err)
		}
		keys = append(keys, k)
	}
	return keys, nil
}
