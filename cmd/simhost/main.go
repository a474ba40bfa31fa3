// Command simhost runs the decision modules of simulated nodes: it reads batches of events
// from standard input and writes one reply for each batch to standard output. It maps the
// simulator's wire format to the module's interface and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"robinmast/internal/config"
	"robinmast/internal/simwire"
)

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the command line and returns the exit status: 1 for invalid input on the
// wire, 2 for invalid arguments or an invalid configuration.
func execute(args []string) int {
	status, path := 2, ""
	c := &cobra.Command{
		Use:           "simhost [--config FILE]",
		Short:         "Run the decision modules of simulated nodes on standard input and output",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			cfg := config.Defaults()
			if path != "" {
				var err error
				if cfg, err = config.Load(path); err != nil {
					return err
				}
			}
			status = 1
			return serve(cfg, os.Stdin, os.Stdout)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "",
		"the node's INI file, for the sections that apply to the simulator: [pools], [together]")
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		return status
	}
	return 0
}

// serve answers batches until the input ends between two frames. It returns an error if the
// input or an instance's settings are invalid.
func serve(cfg *config.Config, in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	f := newFleet(cfg)
	var buf []byte
	for {
		batch, grown, err := simwire.ReadBatch(r, buf)
		buf = grown
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := f.handleBatch(batch)
		if err != nil {
			return err
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
		if f.settingsErr != nil { // the reply reported it to the simulator
			return f.settingsErr
		}
	}
}
