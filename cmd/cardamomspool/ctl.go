package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/diff"

	"cardamomspool/core/check"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/client"
	"cardamomspool/io/setup"
)

type (
	// ctlOptions holds the flags and arguments of the ctl subcommands.
	ctlOptions struct {
		// Flags of most subcommands.
		control   string // Admin addresses of control hosts, separated by commas.
		tokenFile string
		operator  string
		output    string // outputTable or outputJSON.
		timeout   time.Duration
		// Which service, target or document the subcommand is about.
		name   string
		target string
		file   string
		// Flags of changes: the base revision, empty for the current one, and the
		// idempotency key.
		base    string
		request string
		// accounts says that the document is that of the client accounts.
		accounts bool
		// json sets output to outputJSON.
		json bool
		// Flags of history and apply.
		revision uint64
		dryRun   bool
		// Arguments and flags of explain, timeline and late.
		call    string
		subject string
		value   string
		logs    string
	}

	// ctlRun runs one subcommand of ctl.
	ctlRun func(ctx context.Context, c *client.Client, o *ctlOptions) error
)

const (
	defaultControl = "127.0.0.1:7001"
	ctlTimeout     = 15 * time.Second
	outputTable    = "table"
	outputJSON     = "json"
)

// Exit codes of ctl, in addition to exitFailed and exitUsage.
const (
	exitConflict     = 3 // The change's base is not the current revision; nothing was changed.
	exitInvalid      = 4 // The document or the request is invalid; nothing was changed.
	exitUnknown      = 5 // The outcome is unknown; the same request can be sent again.
	exitUnauthorised = 6 // The operator token is missing or wrong.
)

// ctlCommands returns the subcommands of ctl and ctl itself, which without a subcommand
// is a usage error. It sets the defaults of their flags in o.
func ctlCommands(o *ctlOptions) []*command {
	o.control, o.output, o.timeout, o.operator = defaultControl, outputTable, ctlTimeout, os.Getenv("USER")
	ctl := flaggy.NewSubcommand("ctl")
	ctl.Description = "read and change service documents"
	flaggy.AttachSubcommand(ctl, 1)
	commands := []*command{
		ctlGetCommand(o), ctlApplyCommand(o), ctlDeleteCommand(o), ctlHistoryCommand(o), ctlValidateCommand(o),
		ctlDrainCommand(o, "drain", "stop sending new calls to a target", true),
		ctlDrainCommand(o, "undrain", "send calls to a drained target again", false),
		ctlEvacuateCommand(o, "evacuate", "send no calls to the targets in a data centre", true),
		ctlEvacuateCommand(o, "restore", "send calls to the targets in a data centre again", false),
		ctlCommand(o, "status", "print the status of each control host", ctlStatus),
		ctlTargetsCommand(o),
		ctlAccountsCommand(o),
		ctlExplainCommand(o),
		ctlTimelineCommand(o),
		ctlLateCommand(o),
		ctlCheckCommand(),
	}
	for _, c := range commands {
		ctl.AttachSubcommand(c.parser, 1)
	}
	return append(commands, &command{parser: ctl, run: func(context.Context, *options) error { return errUsage }})
}

// ctlCommand returns a subcommand with the flags that all subcommands of ctl
// share.
func ctlCommand(o *ctlOptions, name, description string, run ctlRun) *command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.String(&o.control, "a", "control", "admin addresses of control hosts, separated by commas")
	sub.String(&o.tokenFile, "t", "token-file", "file with the operator token")
	sub.String(&o.operator, "u", "operator", "operator name to record in the history")
	sub.String(&o.output, "o", "output", "table or json")
	sub.Duration(&o.timeout, "w", "timeout", "how long to wait for a final answer")
	return &command{parser: sub, run: func(ctx context.Context, _ *options) error {
		ctx, cancel := context.WithTimeout(ctx, o.timeout)
		defer cancel()
		c, err := newClient(o)
		if err != nil {
			return err
		}
		return run(ctx, c, o)
	}}
}

func ctlGetCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "get", "print one service document, or list all services when no name is given", ctlGet)
	c.parser.AddPositionalValue(&o.name, "name", 1, false, "name of the service")
	addAccountsFlag(c.parser, o)
	return c
}

func ctlApplyCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "apply", "create or replace a service document", ctlApply)
	c.parser.AddPositionalValue(&o.file, "file", 1, true, "JSON file with the document, - for standard input")
	c.parser.Bool(&o.dryRun, "d", "dry-run", "show the difference and change nothing")
	addAccountsFlag(c.parser, o)
	addChangeFlags(c.parser, o)
	return c
}

func ctlDeleteCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "delete", "delete a service", ctlDelete)
	c.parser.AddPositionalValue(&o.name, "name", 1, false, "name of the service")
	addAccountsFlag(c.parser, o)
	addChangeFlags(c.parser, o)
	return c
}

// addAccountsFlag adds the flag of subcommands about a service or the client accounts.
func addAccountsFlag(sub *flaggy.Subcommand, o *ctlOptions) {
	sub.Bool(&o.accounts, "", "accounts", "the document of the client accounts, not that of a service")
}

// documentName returns the name of the document that the arguments name. The error wraps
// errUsage if they name none, or two.
func documentName(o *ctlOptions) (string, error) {
	switch {
	case o.accounts && o.name == "":
		return spec.AccountsName, nil
	case o.accounts:
		return "", errors.Wrapf(errUsage, "give the name %q or --accounts", o.name)
	case o.name == "":
		return "", errors.Wrap(errUsage, "give the name of a service or --accounts")
	}
	return o.name, nil
}

func ctlAccountsCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "accounts", "print the use of client accounts and their quotas", ctlAccounts)
	c.parser.Bool(&o.json, "j", "json", "the same as --output json")
	return c
}

// addChangeFlags adds the flags of subcommands that change a service.
func addChangeFlags(sub *flaggy.Subcommand, o *ctlOptions) {
	sub.String(&o.base, "b", "base", "revision that the change is based on; the current one by default")
	sub.String(&o.request, "q", "request", "idempotency key of the request; repeat it to send the same request again")
}

func ctlHistoryCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "history", "print the latest versions of a service", ctlHistory)
	c.parser.AddPositionalValue(&o.name, "name", 1, false, "name of the service")
	addAccountsFlag(c.parser, o)
	c.parser.UInt64(&o.revision, "r", "revision", "print the document of this revision")
	return c
}

func ctlTargetsCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "targets", "print the targets known to the entry hosts", ctlTargets)
	c.parser.AddPositionalValue(&o.name, "service", 1, false, "name of the service; all services by default")
	return c
}

func ctlValidateCommand(o *ctlOptions) *command {
	c := ctlCommand(o, "validate", "validate a service document and print its stored form", ctlValidate)
	c.parser.AddPositionalValue(&o.file, "file", 1, true, "JSON file with the document, - for standard input")
	addAccountsFlag(c.parser, o)
	return c
}

// newClient returns a client of the control hosts that the flags name. The error
// wraps errUsage if a flag is invalid.
func newClient(o *ctlOptions) (*client.Client, error) {
	if o.output != outputTable && o.output != outputJSON {
		return nil, errors.Wrapf(errUsage, "--output is %q, must be table or json", o.output)
	}
	var controls []netip.AddrPort
	for _, text := range strings.Split(o.control, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Wrapf(errUsage, "--control: %q is not an IP address with a port", text)
		}
		controls = append(controls, address)
	}
	token, err := setup.ReadToken(o.tokenFile)
	if err != nil {
		return nil, err
	}
	return client.New(controls, client.WithToken(token), client.WithOperator(o.operator)), nil
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var (
		status *client.StatusError
		faults strict.Faults
		found  checkError
	)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &found):
		return found.code
	case errors.Is(err, errNotCompared):
		return check.ExitErrors
	case errors.Is(err, client.ErrNoAnswer):
		return exitUnknown
	case errors.As(err, &faults):
		return exitInvalid
	case errors.As(err, &status):
		return statusExitCode(status.Code)
	default:
		return exitFailed
	}
}

// statusExitCode returns the exit code for an HTTP error status.
func statusExitCode(status int) int {
	switch status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return exitInvalid
	case http.StatusUnauthorized:
		return exitUnauthorised
	default:
		return exitFailed
	}
}

func ctlGet(ctx context.Context, c *client.Client, o *ctlOptions) error {
	if o.name == "" && !o.accounts {
		list, err := c.List(ctx)
		if err != nil {
			return err
		}
		return printServices(os.Stdout, o.output, list)
	}
	name, err := documentName(o)
	if err != nil {
		return err
	}
	doc, err := c.Get(ctx, name)
	if err != nil {
		return err
	}
	doc.Body = spec.Shown(name, doc.Body)
	if !doc.Confirmed {
		fmt.Fprintln(os.Stderr, "no majority of control hosts answered; a newer version may exist")
	}
	if o.output == outputJSON {
		return printJSON(os.Stdout, doc)
	}
	_, err = os.Stdout.Write(spec.Indent(doc.Body))
	return err
}

func ctlApply(ctx context.Context, c *client.Client, o *ctlOptions) error {
	data, err := readFile(o.file)
	if err != nil {
		return err
	}
	name := spec.AccountsName
	if !o.accounts {
		doc, faults := spec.Parse(data)
		if err = faults.Err(); err != nil {
			return errors.Wrapf(err, "document %s", o.file)
		}
		name = doc.Name
	}
	canonical, faults := spec.CanonicalNamed(name, data)
	if err = faults.Err(); err != nil {
		return errors.Wrapf(err, "document %s", o.file)
	}
	if !o.dryRun {
		return submit(ctx, c, o, client.Change{Name: name, Document: data})
	}
	current, err := c.BaseVersion(ctx, name)
	if err != nil {
		return err
	}
	current.Body = spec.Shown(name, current.Body)
	return printDiff(os.Stdout, current, spec.Shown(name, canonical))
}

func ctlDelete(ctx context.Context, c *client.Client, o *ctlOptions) error {
	name, err := documentName(o)
	if err != nil {
		return err
	}
	return submit(ctx, c, o, client.Change{Name: name, Deleted: true})
}

// submit sends a change with the base and request id of the flags, or with the
// current revision and a random id. When the outcome is unknown, the error names the
// flags that send the same request again.
func submit(ctx context.Context, c *client.Client, o *ctlOptions, change client.Change) error {
	var err error
	if change.Base, err = baseRevision(ctx, c, o, change.Name); err != nil {
		return err
	}
	if change.Request = o.request; change.Request == "" {
		change.Request = rand.Text()
	}
	done, err := c.Apply(ctx, change)
	if errors.Is(err, client.ErrNoAnswer) {
		return errors.WithMessagef(err, "send it again with --base %d --request %s", change.Base, change.Request)
	}
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		return printJSON(os.Stdout, done)
	}
	fmt.Printf("%s is at revision %d, based on %d\n", done.Name, done.Revision, change.Base)
	return nil
}

// baseRevision returns the revision given by --base, or the current one of the
// service if the flag is not given. The error wraps errUsage if --base is not a
// number.
func baseRevision(ctx context.Context, c *client.Client, o *ctlOptions, name string) (uint64, error) {
	if o.base != "" {
		n, err := strconv.ParseUint(o.base, 10, 64)
		if err != nil {
			return 0, errors.Wrapf(errUsage, "--base is %q, must be a revision", o.base)
		}
		return n, nil
	}
	current, err := c.BaseVersion(ctx, name)
	return current.Revision, err
}

func ctlHistory(ctx context.Context, c *client.Client, o *ctlOptions) error {
	name, err := documentName(o)
	if err != nil {
		return err
	}
	versions, err := c.History(ctx, name)
	if err != nil {
		return err
	}
	for i := range versions {
		versions[i].Body = spec.Shown(name, versions[i].Body)
	}
	if o.revision == 0 {
		return printHistory(os.Stdout, o.output, versions)
	}
	for _, v := range versions {
		if v.Revision == o.revision && !v.Deleted {
			_, err = os.Stdout.Write(spec.Indent(v.Body))
			return err
		}
	}
	return errors.Errorf("service %q has no known document of revision %d", name, o.revision)
}

func ctlValidate(ctx context.Context, c *client.Client, o *ctlOptions) error {
	data, err := readFile(o.file)
	if err != nil {
		return err
	}
	name := ""
	if o.accounts {
		name = spec.AccountsName
	}
	checked, err := c.Validate(ctx, name, data)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(spec.Indent(spec.Shown(name, checked.Document)))
	return err
}

func ctlStatus(ctx context.Context, c *client.Client, o *ctlOptions) error {
	return printStatus(os.Stdout, o.output, c.Status(ctx))
}

func ctlTargets(ctx context.Context, c *client.Client, o *ctlOptions) error {
	list, err := c.Targets(ctx, o.name)
	if err != nil {
		return err
	}
	return printTargets(os.Stdout, o.output, list)
}

func ctlAccounts(ctx context.Context, c *client.Client, o *ctlOptions) error {
	list, err := c.Accounts(ctx)
	if err != nil {
		return err
	}
	if o.json {
		o.output = outputJSON
	}
	return printAccounts(os.Stdout, o.output, list)
}

// readFile reads a document from a file, or from standard input when path is "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Wrap(err, "document")
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "document")
}

// printDiff writes the difference between the current document and after, the document
// to apply. A service that does not exist or is deleted counts as an empty document.
func printDiff(w io.Writer, current spec.Versioned, after []byte) error {
	var before []byte
	if !current.Deleted && current.Revision > 0 {
		before = spec.Indent(current.Body)
	}
	text := diff.Diff(fmt.Sprintf("revision %d", current.Revision), before, "file", spec.Indent(after))
	if len(text) == 0 {
		text = []byte("no difference\n")
	}
	_, err := w.Write(text)
	return err
}
