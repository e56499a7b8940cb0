package main

import "context"

type pathCmd struct{}

func (*pathCmd) usage() string { return "" }

func (*pathCmd) run(context.Context) error { return nil }
