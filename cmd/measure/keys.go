package main

import "context"

type keysCmd struct{}

func (*keysCmd) usage() string { return "" }

func (*keysCmd) run(context.Context) error { return nil }
