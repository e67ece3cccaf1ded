package main

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/agatekeel/agatekeel/core/config"
)

// getCommand shows published objects.
type getCommand struct {
	console
	platformOption
	outputOption
	Args struct {
		Names []string `positional-arg-name:"KIND[/NAME]" description:"kind or object to show (default: all objects)"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	current, err := c.published()
	if err != nil {
		return err
	}
	objects, err := selectObjects(current, c.Args.Names)
	if err != nil {
		return err
	}
	if c.wantsJSON() {
		return c.json(objects)
	}
	rows := [][]string{{"KIND", "NAME", "VERSION", "AUTHOR"}}
	for _, o := range objects {
		rows = append(rows, []string{string(o.Kind), o.Name, strconv.FormatUint(o.Version, 10), o.Author})
	}
	if err := c.table(rows); err != nil {
		return err
	}
	c.printf("%d objects at version %d\n", len(objects), current.Version)
	return nil
}

// selectObjects returns the objects that match one of the names, each a Kind or a
// Kind/name. Without names it returns all objects.
func selectObjects(set *config.Set, names []string) ([]config.Object, error) {
	if len(names) == 0 {
		return set.Sorted(), nil
	}
	out := []config.Object{}
	var errs []error
	for _, name := range names {
		if objects := ofKind(set, config.Kind(name)); len(objects) > 0 {
			out = append(out, objects...)
			continue
		}
		k, err := config.ParseKey(name)
		if err != nil {
			errs = append(errs, fmt.Errorf("%q is neither a kind nor Kind/name of an object", name))
			continue
		}
		o, ok := set.Objects[k]
		if !ok {
			errs = append(errs, fmt.Errorf("%s does not exist at version %d", k, set.Version))
			continue
		}
		out = append(out, o)
	}
	return out, errors.Join(errs...)
}

func ofKind(set *config.Set, kind config.Kind) []config.Object {
	var out []config.Object
	for _, o := range set.Sorted() {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}
