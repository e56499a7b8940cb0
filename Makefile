# Commands for developers. README.md explains them.

.PHONY: build test demo soak measure lint generate

build:
	go build -o bin ./cmd/...

test:
	go test ./...

demo:
	bash tools/demo.sh

lint:
	bash tools/lint.sh

generate:
	go generate ./internal/peer/wire
