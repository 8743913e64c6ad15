package command

import (
	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// completionCommand prints the line that enables completion in a shell.
type completionCommand = kongplete.InstallCompletions

// complete answers a completion request from the shell and then exits the
// process. It returns if there is no such request.
func complete(parser *kong.Kong) { kongplete.Complete(parser) }
