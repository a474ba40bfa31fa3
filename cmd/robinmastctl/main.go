// Command robinmastctl is the operators' tool. This file owns its command line
// and exit statuses. It must never be linked into the node, and never change
// anything but what its command names.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit statuses of the tool.
const (
	statusOK    = 0
	statusFound = 1 // what was asked for was done, and something is wrong with what was looked at
	statusError = 2 // arguments, or what was asked for could not be done
)

// errFound stands for statusFound: everything was told already.
var errFound = errors.New("faults were found")

func main() { os.Exit(execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// execute runs the command line and returns the exit status.
func execute(args []string, in io.Reader, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:   "robinmastctl",
		Short: "Look after robinmast's nodes and what they keep",
		Long: `robinmastctl is the operators' tool.

Exit statuses: 0 done and sound, 1 done and something is wrong with what was
looked at (each fault is a line), 2 it could not be done.`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.AddCommand(storeCommand(), tryCommand(), rehearseCommand())
	root.AddCommand(fleetCommands()...)
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, errFound):
		return statusFound
	}
	fmt.Fprintf(errs, "robinmastctl: %v\n", err)
	return statusError
}
