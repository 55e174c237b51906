package ctl

import (
	"time"

	flags "github.com/jessevdk/go-flags"
)

// command describes a subcommand.
type command struct {
	name, short, long string
	data              any
}

func (c *cli) commands() []command {
	return []command{
		{
			"validate", "Check a document", `Checks FILE and prints every finding as FILE:line:column pointer: message.
It needs no platform. FILE may be - for standard input.`,
			&validateCommand{cli: c},
		},
		{
			"diff", "Show what applying a document would change", `Checks FILE and lists the differences to the
configuration in force, by object and field: + added, - removed, ~ changed.
Exit code 0 means no difference, 4 means that there are some.`,
			&diffCommand{cli: c},
		},
		{
			"apply", "Apply a document as the next version", `Checks FILE, applies it as the next version, and waits until
it is in force at every daemon. The write is conditional on the version that the
command read, so that a change by another operator in between is never
overwritten.

With --base FILE (what get returned before you edited), changes that others
made since are kept: changes to different parts are merged, and different
changes to the same field are listed and nothing is applied.
With --generation N, nothing is applied unless generation N is in force.`,
			&applyCommand{cli: c},
		},
		{
			"get", "Print the configuration in force", `Prints the document in force as JSON on standard output, and its
generation, author and time on standard error.`,
			&getCommand{cli: c},
		},
		{
			"status", "Show daemons, pools and engines", `Queries the daemons' admin addresses and shows members, the
generation in force at each, pools and engines. Name at least one daemon with
--admin; with --admin-port all members are queried.`,
			&statusCommand{cli: c},
		},
		{
			"drain", "Stop assigning new work to a backend server", `Marks the backend server NAME as drained and waits until that is
in force. Running requests finish normally.`,
			&drainCommand{cli: c, drained: true},
		},
		{
			"undrain", "Assign new work to a backend server again", "Removes the drained mark of the backend server NAME.",
			&drainCommand{cli: c},
		},
		{
			"timeline", "Merge event logs of a request or object", `Reads event logs of any number of processes and prints
the events of a request or object in causal order. Malformed lines are
counted and skipped.

Example: carobctl timeline --request 3f2a logs/gate-*.log`,
			&timelineCommand{cli: c},
		},
		{
			"losses", "Sum up why requests were not served in full", `Reads event logs of any number of daemons that forward requests
(carobedge) and sums up the requests that were refused, failed or late, by
route and reason. The weight estimates the benefit lost from the length of the
prompts; a late request counts as three quarters.

Example: carobctl losses logs/edge-*.log`,
			&lossesCommand{cli: c},
		},
		{
			"workspaces", "Sum up requests by workspace", `Reads the metrics of daemons that forward requests (carobedge) at
their metrics addresses and prints, for each workspace, the requests received,
served (late ones included), late and refused since each daemon started.
Exit code 1 means that a daemon did not answer; the others are summed.

Example: carobctl workspaces 10.0.0.11:7003 10.0.0.12:7003`,
			&workspacesCommand{cli: c},
		},
		{
			"explain", "Show where a request would go now, and why", `Asks a daemon that forwards requests (carobedge) where it would
place a request that arrived now. Nothing is sent to a server, and nothing
changes. All servers of the service are listed by the predicted loss, with the
reasons for which they cannot receive the request.

Example: carobctl explain --service llm --workspace school --prompt 20000 --answer 500 10.0.0.11:9102`,
			&explainCommand{cli: c},
		},
		{
			"keygen", "Generate keys and certificates for development", `Generates a development certificate authority, one
certificate per host, a cluster key and a cursor key under --out. Files are
readable by their owner only. Production deployments use their own authority.

Example: carobctl keygen --out keys --host gate-1=127.0.0.1 --host gate-2=127.0.0.2`,
			&keygenCommand{cli: c},
		},
		{
			"hash-key", "Hash a bearer key for keyHashes", `Reads a bearer key from standard input and prints its SHA-256 for
keyHashes of a workspace. The key is not taken from the command line, where
other users of the host could see it.

Example: carobctl hash-key < key.txt`,
			&hashKeyCommand{cli: c},
		},
		{
			"hash-password", "Hash an operator's password for carobconsole", `Reads a password from standard input and prints its
hash for operators of carobconsole's settings.

Example: carobctl hash-password < password.txt`,
			&hashPasswordCommand{cli: c},
		},
		{
			"completion", "Print a shell completion script", `Prints a completion script for bash or zsh.

Example: source <(carobctl completion bash)`,
			&completionCommand{cli: c},
		},
	}
}

// fileArgument is the positional argument that names the document of a command.
type fileArgument struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// waitOption limits how long a command waits for the daemons.
type waitOption struct {
	Wait time.Duration `long:"wait" value-name:"DURATION" default:"15s" description:"how long to wait until the version is in force at every daemon; 0s does not wait"`
}
