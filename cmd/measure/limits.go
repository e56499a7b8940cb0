package main

import "context"

type limitsCmd struct{}

func (*limitsCmd) usage() string { return "" }

func (*limitsCmd) run(context.Context) error { return nil }
