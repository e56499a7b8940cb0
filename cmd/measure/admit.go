package main

import "context"

type admitCmd struct{}

func (*admitCmd) usage() string { return "" }

func (*admitCmd) run(context.Context) error { return nil }
