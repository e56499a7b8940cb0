package main

import "context"

type drainCmd struct{}

func (*drainCmd) usage() string { return "" }

func (*drainCmd) run(context.Context) error { return nil }
