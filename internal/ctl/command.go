package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/settings"
)

// The environment variables that the tool reads.
const (
	envServer = "RATTANCHUTE_SERVER"
	envKey    = "RATTANCHUTE_OPERATOR_KEY"
)

// Environment gives the tool access to its process and to the network. Tests replace it.
type Environment struct {
	Stdin     io.Reader
	Stdout    io.Writer
	Stderr    io.Writer
	LookupEnv func(name string) (string, bool)
	ReadFile  func(name string) ([]byte, error)
	Now       func() time.Time
	Sleep     func(time.Duration)
	// NewID returns a unique id for a change.
	NewID func() string
	// Dial connects to daemons. Nil means the default of fasthttp.
	Dial fasthttp.DialFunc
}

// ProcessEnvironment returns the environment of this process.
func ProcessEnvironment() Environment {
	return Environment{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		LookupEnv: os.LookupEnv,
		ReadFile:  os.ReadFile,
		Now:       time.Now,
		Sleep:     time.Sleep,
		NewID:     uuid.NewString,
	}
}

// options holds the values of all flags and positional arguments.
type options struct {
	server  string
	keyFile string
	output  string
	timeout time.Duration

	file         string
	base         string
	wait         bool
	organisation string
	model        string
	method       string
	path         string
	node         string
	limit        int
	request      string
	logs         string
	fleet        string
	parts        string
	fingerprint  string
}

// command is one invocation of the tool.
type command struct {
	env    Environment
	opts   options
	client *Client
}

// result is the output of a command. It is printed as text or encoded as JSON.
type result interface {
	text(w io.Writer)
}

// subcommand pairs the parser's state of a subcommand with the function that runs it. A local
// subcommand needs no daemon.
type subcommand struct {
	flags *flaggy.Subcommand
	local bool
	run   func(*command) (result, error)
}

// Run executes a command line, given without the program's name, and returns the exit code.
// Without a command it shows the help and returns ExitUsage. For --help, completion scripts and
// unknown flags the flag parser itself ends the process.
func Run(args []string, env Environment) int {
	c := &command{env: env, opts: options{output: outputText, timeout: defaultTimeout, limit: defaultAuditLimit}}
	parser := flaggy.NewParser("rattanchutectl")
	parser.Description = "checks, applies and explains the configuration of rattanchute"
	parser.DisableShowVersionWithVersion()
	parser.AdditionalHelpAppend = exitCodeHelp
	c.addGlobalFlags(parser)
	subcommands := c.subcommands(parser)
	if err := parser.ParseArgs(args); err != nil {
		return c.finish(nil, &usageError{err.Error()})
	}
	for _, s := range subcommands {
		if s.flags.Used {
			return c.finish(c.execute(s))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

const exitCodeHelp = `
Exit codes: 0 done, 1 findings or refused, 2 usage, 3 conflict with another change,
4 not yet in force everywhere, 5 no answer from a daemon or the platform.`

func (c *command) addGlobalFlags(p *flaggy.Parser) {
	p.String(&c.opts.server, "s", "server", "operators' addresses of daemons, ip:port[,ip:port]; else "+envServer)
	p.String(&c.opts.keyFile, "k", "key-file", "file with the operator's key; else "+envKey)
	p.String(&c.opts.output, "o", "output", "text or json")
}

func (c *command) subcommands(p *flaggy.Parser) []subcommand {
	add := func(name, description string) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = description
		p.AttachSubcommand(s, 1)
		return s
	}
	validate := add("validate", "check a configuration file without any daemon")
	c.addFile(validate)

	diff := add("diff", "compare a configuration file with the configuration in force")
	c.addFile(diff)

	apply := add("apply", "put a configuration file in force, unless another change came first")
	c.addFile(apply)
	apply.String(&c.opts.base, "b", "base", "generation that the file was derived from, or current (required)")
	apply.Bool(&c.opts.wait, "w", "wait", "wait until it is in force on every live daemon")
	apply.Duration(&c.opts.timeout, "t", "timeout", "how long to try and to wait")

	get := add("get", "print the configuration in force; its generation goes to the error output")

	status := add("status", "show every daemon: state, generation in force, open requests")

	explain := add("explain", "say where a request would go and why, without sending it")
	explain.String(&c.opts.organisation, "g", "organisation", "organisation that would ask (required)")
	explain.String(&c.opts.model, "m", "model", "model that would be asked for")
	explain.String(&c.opts.method, "x", "method", "method of a service call")
	explain.String(&c.opts.path, "p", "path", "path of a service call")

	drain := add("drain", "let a daemon fail its readiness and finish its open requests")
	drain.AddPositionalValue(&c.opts.node, "node", 1, true, "name of the daemon")

	quarantines := add("quarantines", "list the requests and the prompts that are refused because they crash endpoints")

	release := add("release", "end the quarantine of parts of prompts on all daemons")
	release.AddPositionalValue(&c.opts.fleet, "fleet", 1, true, "name of the fleet")
	release.AddPositionalValue(&c.opts.parts, "parts", 2, true, "parts of the quarantine, part[,part]")
	releaseRequest := add("release-request", "end the quarantine of a request on all daemons")
	releaseRequest.AddPositionalValue(&c.opts.fingerprint, "fingerprint", 1, true, "what the request and its repetitions have in common")

	audit := add("audit", "list accepted changes, newest first")
	audit.Int(&c.opts.limit, "n", "limit", "greatest number of changes")

	traced := add("trace", "tell the story of a request from the logs of the hosts")
	traced.AddPositionalValue(&c.opts.request, "request", 1, true, "the request's id")
	traced.String(&c.opts.logs, "l", "logs", "log files, name[,name]; else the standard input")

	version := add("version", "print the version of this tool")

	return []subcommand{
		{validate, true, (*command).validate},
		{diff, false, (*command).diff},
		{apply, false, (*command).apply},
		{get, false, (*command).get},
		{status, false, (*command).status},
		{explain, false, (*command).explain},
		{drain, false, (*command).drain},
		{quarantines, false, (*command).quarantines},
		{release, false, (*command).release},
		{releaseRequest, false, (*command).releaseRequest},
		{audit, false, (*command).audit},
		{traced, true, (*command).trace},
		{version, true, (*command).version},
	}
}

func (c *command) addFile(s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.opts.file, "file", 1, true, "configuration in JSON with comments")
}

func (c *command) execute(s subcommand) (result, error) {
	if c.opts.output != outputText && c.opts.output != outputJSON {
		return nil, &usageError{fmt.Sprintf("output is %q; accepted are text and json", c.opts.output)}
	}
	if s.local {
		return s.run(c)
	}
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	servers, err := c.servers()
	if err != nil {
		return nil, err
	}
	c.client = NewClient(servers, key, c.env.Dial)
	return s.run(c)
}

func (c *command) servers() ([]string, error) {
	list := c.opts.server
	if list == "" {
		list, _ = c.env.LookupEnv(envServer)
	}
	if list == "" {
		return nil, &usageError{"no server; accepted is --server or " + envServer}
	}
	return strings.Split(list, ","), nil
}

func (c *command) key() (settings.Secret, error) {
	if c.opts.keyFile != "" {
		raw, err := c.env.ReadFile(c.opts.keyFile)
		if err != nil {
			return settings.Secret{}, &usageError{fmt.Sprintf("read the key: %v", err)}
		}
		return settings.NewSecret(strings.TrimSpace(string(raw))), nil
	}
	value, _ := c.env.LookupEnv(envKey)
	if value == "" {
		return settings.Secret{}, &usageError{"no operator's key; accepted is --key-file or " + envKey}
	}
	return settings.NewSecret(value), nil
}
