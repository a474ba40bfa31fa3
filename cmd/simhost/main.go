// Command simhost hosts decision modules for the simulator: it reads batches
// of events from standard input and writes one reply for each to standard
// output. It maps the wire to the module's interface and decides nothing.
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

// execute runs the command line and returns the exit status: 1 what came on the
// wire can't be used, 2 arguments or a configuration that can't be.
func execute(args []string) int {
	status, path := 2, ""
	c := &cobra.Command{
		Use:           "simhost [--config FILE]",
		Short:         "Host the node's decisions on the simulator's wire",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			own := config.Defaults()
			if path != "" {
				var err error
				if own, err = config.Load(path); err != nil {
					return err
				}
			}
			status = 1
			return serve(own, os.Stdin, os.Stdout)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the node's INI file, for the features that the simulator has: [pools], [together]")
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		return status
	}
	return 0
}

// serve answers batches until the input ends between two frames or settings can't be served.
func serve(own *config.Config, in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	f := newFleet(own)
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
		reply, err := f.answer(batch)
		if err != nil {
			return err
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
		if f.bad != nil { // the simulator has been told, and nothing was served
			return f.bad
		}
	}
}
