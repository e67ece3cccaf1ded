package main

import (
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/operator"
)

// checkCommand checks objects without a platform.
type checkCommand struct {
	console
	outputOption
	Args struct {
		Paths []string `positional-arg-name:"PATH" required:"1" description:"JSON file or directory"`
	} `positional-args:"true"`
}

// checkResult is the JSON form of a check.
type checkResult struct {
	Objects int            `json:"objects"`
	Faults  []config.Fault `json:"faults"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	src, err := readObjects(c.Args.Paths)
	if err != nil {
		return err
	}
	faults := operator.Check(config.NewSet(0, nil), offlineSubmission(src))
	if c.wantsJSON() {
		if err := c.json(checkResult{Objects: len(src.objects), Faults: append([]config.Fault{}, faults...)}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return src.faultErrors(faults)
	}
	if !c.wantsJSON() {
		c.printf("%d objects, no faults\n", len(src.objects))
	}
	return nil
}

// offlineSubmission returns the submission for a check without a platform. It omits
// the versions that "get" wrote, as there are no published objects to compare them
// with.
func offlineSubmission(src source) config.Submission {
	objects := make([]config.Object, 0, len(src.objects))
	for _, o := range src.objects {
		o.Version = 0
		objects = append(objects, o)
	}
	return operator.Edit("check", "", config.NewSet(0, nil), objects)
}
