// Command marjoramlug dispatches sub-second tasks to endpoints.
package main

import (
	"os"

	"marjoramlug.example/marjoramlug/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
