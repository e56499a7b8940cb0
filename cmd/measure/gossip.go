package main

import "context"

type gossipCmd struct{}

func (*gossipCmd) usage() string { return "" }

func (*gossipCmd) run(context.Context) error { return nil }
