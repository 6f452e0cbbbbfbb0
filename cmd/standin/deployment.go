package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/standin/demonstration"
	"github.com/flamingohold/flamingohold/internal/standin/deployment"
)

const (
	runTimeout      = 55 * time.Second
	shutdownNotice  = 10 * time.Second
	plainDelay      = 20 * time.Millisecond
	instanceListLag = time.Second
)

// deploymentFlags are the flags that run, up, down and load have in common.
type deploymentFlags struct {
	examples string
	folder   string
}

func (f *deploymentFlags) attach(s *flaggy.Subcommand) {
	f.examples = "examples"
	f.folder = "run"
	s.String(&f.examples, "d", "dir", "directory of the example deployments")
	s.String(&f.folder, "r", "run-folder", "directory for settings, logs, traces and process identifiers")
}

// specs reads the specifications of the example deployments.
func (f *deploymentFlags) specs() ([]deployment.Spec, error) {
	files, err := filepath.Glob(filepath.Join(f.examples, "*", "deployment.json"))
	if err != nil {
		return nil, errors.Wrap(err, "list example deployments")
	}
	if len(files) == 0 {
		return nil, errors.Newf("no example deployment in %s", f.examples)
	}
	var specs []deployment.Spec
	for _, file := range files {
		spec, err := deployment.LoadSpec(filepath.Dir(file))
		if err != nil {
			return nil, err
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// options returns the options of the named deployment.
func (f *deploymentFlags) options(name string) (deployment.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return deployment.Options{}, errors.Wrap(err, "locate executable")
	}
	return deployment.Options{
		Programs:        filepath.Dir(self),
		Folder:          filepath.Join(f.folder, name),
		PlainDelay:      plainDelay,
		InstanceListLag: instanceListLag,
		ShutdownNotice:  shutdownNotice,
		Trace:           true,
	}, nil
}

type runCommand struct{ deploymentFlags }

func (c *runCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("run")
	s.Description = "Start each example deployment, run the demonstration and stop the deployment"
	c.deploymentFlags.attach(s)
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *runCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	specs, err := c.specs()
	if err != nil {
		return err
	}
	for _, spec := range specs {
		if err := c.demonstrate(ctx, spec.Small()); err != nil {
			return errors.Wrap(err, spec.Name)
		}
	}
	return nil
}

// demonstrate starts one deployment, runs the demonstration against it and stops
// it.
func (c *runCommand) demonstrate(ctx context.Context, spec deployment.Spec) (err error) {
	options, err := c.options(spec.Name)
	if err != nil {
		return err
	}
	if err := clearFolder(options.Folder); err != nil {
		return err
	}
	start := time.Now()
	d, err := deployment.Start(ctx, spec, options)
	if err != nil {
		return err
	}
	defer func() {
		stopping := time.Now()
		err = errors.CombineErrors(err, d.Stop())
		fmt.Printf("\nstopped in %.1f s\n", time.Since(stopping).Seconds())
	}()
	fmt.Printf("== %s: %d processes started in %.1f s\n", spec.Name, d.ProcessCount(), time.Since(start).Seconds())
	printAddresses(d)
	return demonstration.New(d, filepath.Join(options.Folder, "traces"), os.Stdout).Run(ctx)
}

// clearFolder removes the directory of an earlier run, unless processes of that
// run are still running.
func clearFolder(folder string) error {
	if d, err := deployment.Open(deployment.Options{Folder: folder}); err == nil && d.RunningCount() > 0 {
		return errors.Newf("a deployment is running in %s; stop it with standin down", folder)
	}
	return errors.Wrap(os.RemoveAll(folder), "clear run directory")
}

func printAddresses(d *deployment.Deployment) {
	for _, g := range d.Gateways() {
		fmt.Printf("  gateway  http://%s\n", g)
	}
	fmt.Printf("  platform http://%s\n", d.Platform())
	for _, i := range d.Instances() {
		fmt.Printf("  %-14s in %-11s upstream %s sidecar %s\n", i.Name, i.DataCentre, i.UpstreamAddress, i.SidecarAddress)
	}
}

type upCommand struct{ deploymentFlags }

func (c *upCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("up")
	s.Description = "Start the example deployments in the background"
	c.deploymentFlags.attach(s)
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *upCommand) run(ctx context.Context) error {
	specs, err := c.specs()
	if err != nil {
		return err
	}
	for _, spec := range specs {
		options, err := c.options(spec.Name)
		if err != nil {
			return err
		}
		if err := clearFolder(options.Folder); err != nil {
			return err
		}
		d, err := deployment.Start(ctx, spec.Small(), options)
		if err != nil {
			return errors.Wrap(err, spec.Name)
		}
		fmt.Printf("== %s: %d processes, files in %s\n", spec.Name, d.ProcessCount(), options.Folder)
		printAddresses(d)
	}
	return nil
}

type downCommand struct{ deploymentFlags }

func (c *downCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	s := flaggy.NewSubcommand("down")
	s.Description = "Stop the deployments started by up"
	c.deploymentFlags.attach(s)
	parser.AttachSubcommand(s, 1)
	return s
}

func (c *downCommand) run(context.Context) error {
	folders, err := filepath.Glob(filepath.Join(c.folder, "*"))
	if err != nil {
		return errors.Wrap(err, "list run directories")
	}
	var failure error
	for _, folder := range folders {
		d, err := deployment.Open(deployment.Options{Folder: folder, ShutdownNotice: shutdownNotice})
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			fmt.Printf("stopping %d processes of %s\n", d.RunningCount(), folder)
			err = d.Stop()
		}
		failure = errors.CombineErrors(failure, err)
	}
	return failure
}
