package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"robinmast/internal/config"
)

// Exit statuses of the program.
const (
	statusOK     = 0
	statusFailed = 1 // the node could not start or failed while it served
	statusConfig = 2 // invalid arguments or configuration; nothing was started
)

// release is the version of the program, see CHANGELOG.md.
const release = "0.3.0-dev"

// failure is an error with its exit status. A silent one was reported already.
type failure struct {
	error
	status int
	silent bool
}

// execute runs the command line and returns the exit status.
func execute(args []string, out, errs io.Writer) int {
	root := command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return statusOK
	}
	f := failure{status: statusConfig}
	if !errors.As(err, &f) || !f.silent {
		fmt.Fprintf(errs, "robinmast: %v\n", err)
	}
	return f.status
}

// command returns the root command with all its subcommands.
func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "robinmast",
		Short: "An overload controller for the servers of a fleet",
		Long: `robinmast runs one node: it decides which requests its worker pool runs,
queues or refuses.

Without a command it reads the file that EDGE_CONFIG names, as the platform
starts it, and serves with all features of the INI file off.

Signals: TERM and INT are the notice to leave, HUP reads the platform's file
again, USR1 logs the counters.
Exit statuses: 0 the node has drained and left, 1 it failed, 2 invalid
arguments or configuration.`,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(*cobra.Command, []string) error { return serveNode(config.Defaults()) },
	}
	root.AddCommand(runCommand(), checkCommand(), versionCommand())
	return root
}

func runCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "run --config FILE",
		Short: "Serve with the features that FILE enables",
		Long: `run serves like the program without a command, with the features that the INI
file enables (deploy/robinmast.ini has every key with its default). The
platform's own file is still named by EDGE_CONFIG.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return failure{error: err, status: statusConfig}
			}
			return serveNode(cfg)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the INI file")
	_ = c.MarkFlagRequired("config") // fails only if the flag does not exist
	_ = c.MarkFlagFilename("config", "ini")
	return c
}

func checkCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Report what is wrong with a file, without starting anything",
		Long: `check reads the INI file like run and starts nothing. It prints one line for
each fault, FILE:LINE: [section] key: what is wrong, and exits with 2; for a
valid file it prints nothing and exits with 0. If EDGE_CONFIG names the
platform's file, that is checked too, and so are the class names in the INI
file.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			iniConfig, err := config.Load(path)
			if os.Getenv("EDGE_CONFIG") != "" {
				cfg, platformErr := load(os.Getenv)
				if platformErr == nil && iniConfig != nil {
					platformErr = iniConfig.CheckClasses(cfg.names.Classes)
				}
				err = errors.Join(err, platformErr)
			}
			if err != nil {
				fmt.Fprintln(c.OutOrStdout(), err)
				return failure{error: err, status: statusConfig, silent: true}
			}
			return nil
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the INI file")
	_ = c.MarkFlagRequired("config")
	_ = c.MarkFlagFilename("config", "ini")
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program and of Go",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "robinmast %s", release)
			if info, ok := debug.ReadBuildInfo(); ok {
				fmt.Fprintf(c.OutOrStdout(), " (%s)", info.GoVersion)
			}
			fmt.Fprintln(c.OutOrStdout())
		},
	}
}
