# Commands for developers. README.md explains them.

SEEDS ?= 10000

.PHONY: build test demo soak measure lint generate

build:
	go build -o bin/ ./cmd/...

test:
	bash tools/test.sh

demo:
	bash tools/demo.sh

soak:
	SOAK_SEEDS=$(SEEDS) go test -count=1 -run 'TestSoak' -v -timeout 60m ./internal/proof/...

measure:
	bash tools/measure.sh

lint:
	bash tools/tools.sh
	.tools/bin/golangci-lint run ./...

generate:
	go generate ./internal/peer/wire
