// This file owns the command rehearse: the face of internal/standin/fleet. It must
// never touch anything but loopback, folders of its own and the files it is told.

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"robinmast/internal/standin/fleet"
)

// rehearseOptions are the command's flags.
type rehearseOptions struct {
	json           bool
	plot, logs     string
	together       string
	seed           uint64
	nodes, seconds int
	programs       string
}

func rehearseCommand() *cobra.Command {
	var o rehearseOptions
	c := &cobra.Command{
		Use:   "rehearse FILE",
		Short: "Play a bad night: a fleet of real nodes on loopback, with faults between them",
		Long: `rehearse starts the fleet that a scenario describes: real nodes and control
services, each node with a stand-in worker pool, callers as callers are, and a
fault proxy on every link. It prints each second, then what became of everything
as seen from outside. rehearsals/ has scenarios; docs/operators/overload.md has
their form and how to read the table.

Status 0 if no rule was broken, 1 if one was.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return o.run(ctx, args[0], c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.BoolVar(&o.json, "json", false, "print the report as one JSON object instead of the table")
	f.StringVar(&o.plot, "plot", "", "write worth, tries and refusals by second to this file (.svg, .png or .pdf)")
	f.StringVar(&o.logs, "logs", "", "copy the programs' logs into this folder")
	f.StringVar(&o.together, "together", "", "off, alone or told, instead of what the scenario says")
	f.Uint64Var(&o.seed, "seed", 0, "instead of the scenario's")
	f.IntVar(&o.nodes, "nodes", 0, "instead of the scenario's")
	f.IntVar(&o.seconds, "seconds", 0, "instead of the scenario's; its faults stay where they are")
	f.StringVar(&o.programs, "programs", "", "folder of robinmast and robinmast-control; the one of this tool if left out")
	return c
}

func (o *rehearseOptions) run(ctx context.Context, path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	s, err := fleet.Parse(path, text)
	if err != nil {
		return err
	}
	set := func(key string, given bool, apply func()) error {
		if !given {
			return nil
		}
		apply()
		if err := s.Check(); err != nil {
			return fmt.Errorf("--%s: %w", key, err)
		}
		return nil
	}
	for _, err := range []error{
		set("seed", o.seed > 0, func() { s.Fleet.Seed = o.seed }),
		set("nodes", o.nodes != 0, func() { s.Fleet.Nodes = o.nodes }),
		set("seconds", o.seconds != 0, func() { s.Fleet.Seconds = o.seconds }),
		set("together", o.together != "", func() {
			s.Fleet.Together = o.together
			if o.together == "told" {
				s.Fleet.Control = max(s.Fleet.Control, 1)
			}
		}),
	} {
		if err != nil {
			return err
		}
	}
	if o.programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.programs = filepath.Dir(self)
	}
	opt := fleet.Options{Node: filepath.Join(o.programs, "robinmast"), Control: filepath.Join(o.programs, "robinmast-control"), Keep: o.logs}
	for _, program := range []string{opt.Node, opt.Control} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("a program is missing (build it, or name its folder with --programs): %w", err)
		}
	}
	if !o.json {
		fmt.Fprintf(out, "%s: %d nodes, %d control services, together %s; seed %d\n\n", path, s.Fleet.Nodes, s.Fleet.Control, s.Fleet.Together, s.Fleet.Seed)
		fleet.Head(out)
		opt.Tell = func(s fleet.Second) { s.Line(out) }
	}
	r, err := fleet.Run(ctx, s, opt)
	if err != nil {
		return err
	}
	if o.plot != "" {
		if err := r.Plot(o.plot); err != nil {
			return err
		}
	}
	if o.json {
		err = r.JSON(out)
	} else {
		r.Table(out)
	}
	if err == nil && len(r.Broken()) > 0 {
		return errFound
	}
	return err
}
