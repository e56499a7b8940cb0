package main

import "context"

type retryCmd struct{}

func (*retryCmd) usage() string { return "" }

func (*retryCmd) run(context.Context) error { return nil }
