package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

// The output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag is the value of -o.
type outputFlag struct{ format string }

// String implements pflag.Value.
func (o *outputFlag) String() string { return o.format }

// Type implements pflag.Value.
func (o *outputFlag) Type() string { return outputText + "|" + outputJSON }

// Set implements pflag.Value.
func (o *outputFlag) Set(v string) error {
	if v != outputText && v != outputJSON {
		return errs.New(errs.KindInvalid, "use text or json", "output format %q is neither text nor json", v)
	}
	o.format = v
	return nil
}

// print writes a value as one JSON object, or calls text to write it in readable form.
func (o *outputFlag) print(cmd *cobra.Command, value any, text func(w io.Writer)) error {
	if o.format != outputJSON {
		text(cmd.OutOrStdout())
		return nil
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// printError writes an error that ends a command, as JSON if that is the output format.
func (o *outputFlag) printError(w io.Writer, err error) {
	if o.format != outputJSON {
		fmt.Fprintln(w, "chestnuttiller:", err)
		return
	}
	_ = json.NewEncoder(w).Encode(operatorapi.EncodeError(err)) // The exit code reports the failure as well.
}

// noArgs is cobra.NoArgs with an error of kind invalid, so that the exit code is ExitInvalid.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	kind := "argument"
	if cmd.HasSubCommands() {
		kind = "command"
	}
	return errs.New(errs.KindInvalid, "see `"+cmd.CommandPath()+" --help`", "%s %q of %s is not known", kind, args[0], cmd.CommandPath())
}

// oneArg returns a check that there is exactly one argument.
func oneArg(name string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == 1 {
			return nil
		}
		return errs.New(errs.KindInvalid, "name one "+strings.ToLower(name), "%s takes one %s", cmd.CommandPath(), name)
	}
}

// requireFlag returns an error unless the flag was given. It is for flags without a sensible default.
func requireFlag(cmd *cobra.Command, name string) error {
	if cmd.Flags().Changed(name) {
		return nil
	}
	return errs.New(errs.KindInvalid, "add --"+name+"; see `"+cmd.CommandPath()+" --help`", "--%s is missing", name)
}
