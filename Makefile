GO       ?= go
BIN      := $(CURDIR)/bin
TOOLS    := $(BIN)/tools
COMMANDS := $(notdir $(wildcard cmd/*))
GOFILES  := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: all bench build demo test prove lint fmt tools generate clean

all: build

build: ## builds every command into bin/
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build ## the Kaderwerk example as processes on loopback, with a few seconds of load
	@scripts/demo.sh

bench: build ## the short set: both floods and silent connections, one seed each, and the idle cost
	SEEDS=1 scripts/bench.sh flood-background-three-slots flood-urgent-three-slots silent-connections
	scripts/idle.sh bench/results/idle.json

test: ## the short, deterministic tests; passes over KNOWN-RED.txt only
	./.ci/test

prove: build ## fault runs with real processes, one after another; RUN selects tests, PROVE_SEED a seed
	timeout 900 $(GO) test -tags prove -count=1 -timeout 880s -v -run '$(or $(RUN),.)' ./internal/prove

lint: tools ## formatter and linter, without changing anything
	@out=$$($(TOOLS)/gofumpt -l $(GOFILES)); test -z "$$out" || { echo "gofumpt would change:"; echo "$$out"; exit 1; }
	$(GO) vet -tags prove ./...
	$(TOOLS)/staticcheck -tags prove ./...

fmt: tools ## formats every file
	@$(TOOLS)/gofumpt -w $(GOFILES)

tools: $(TOOLS)/gofumpt $(TOOLS)/staticcheck

$(TOOLS)/gofumpt: tools/go.mod tools/go.sum
	@mkdir -p $(TOOLS)
	cd tools && $(GO) build -o $@ mvdan.cc/gofumpt

$(TOOLS)/staticcheck: tools/go.mod tools/go.sum
	@mkdir -p $(TOOLS)
	cd tools && $(GO) build -o $@ honnef.co/go/tools/cmd/staticcheck

$(TOOLS)/gopls: tools/gopls/go.mod tools/gopls/go.sum ## for renames; not needed by lint or CI
	@mkdir -p $(TOOLS)
	cd tools/gopls && $(GO) build -o $@ golang.org/x/tools/gopls

generate: ## needs protoc and protoc-gen-go; the result is committed
	protoc --go_out=. --go_opt=module=github.com/primrosenotch/primrosenotch internal/link/linkpb/link.proto internal/ledger/ledgerpb/ledger.proto

clean:
	rm -rf $(BIN) run
