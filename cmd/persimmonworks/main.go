// Command persimmonworks is the cluster scheduler: the entry process and the
// tools of its callers and operators. See `persimmonworks help`.
package main

import (
	"context"
	"os"

	"persimmonworks.example/persimmonworks/command"
)

func main() { os.Exit(command.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
