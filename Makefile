GO       ?= go
BIN      := $(CURDIR)/bin
TOOLS    := $(BIN)/tools
COMMANDS := $(notdir $(wildcard cmd/*))
GOFILES  := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: all bench build demo test prove lint fmt tools generate clean

all: build

build: ## build all commands into bin/
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build ## run the Kaderwerk example as processes on loopback with a few seconds of load
	@scripts/demo.sh

bench: build ## run the short benchmarks: both three-slot floods and silent connections with one seed each, and idle cost
	SEEDS=1 scripts/bench.sh flood-background-three-slots flood-urgent-three-slots silent-connections
	scripts/idle.sh bench/results/idle.json

test: ## run the short, deterministic tests, skipping only those in KNOWN-RED.txt
	./.ci/test

prove: build ## run fault-injection tests on real processes, sequentially; RUN selects tests, PROVE_SEED sets the seed
	timeout 900 $(GO) test -tags prove -count=1 -timeout 880s -v -run '$(or $(RUN),.)' ./internal/prove

lint: tools ## check formatting and run the linters without changing files
	@out=$$($(TOOLS)/gofumpt -l $(GOFILES)); test -z "$$out" || { echo "gofumpt would change:"; echo "$$out"; exit 1; }
	$(GO) vet -tags prove ./...
	$(TOOLS)/staticcheck -tags prove ./...

fmt: tools ## format all Go files
	@$(TOOLS)/gofumpt -w $(GOFILES)

tools: $(TOOLS)/gofumpt $(TOOLS)/staticcheck

$(TOOLS)/gofumpt: tools/go.mod tools/go.sum
	@mkdir -p $(TOOLS)
	cd tools && $(GO) build -o $@ mvdan.cc/gofumpt

$(TOOLS)/staticcheck: tools/go.mod tools/go.sum
	@mkdir -p $(TOOLS)
	cd tools && $(GO) build -o $@ honnef.co/go/tools/cmd/staticcheck

$(TOOLS)/gopls: tools/gopls/go.mod tools/gopls/go.sum ## gopls is for renaming identifiers; neither lint nor CI needs it
	@mkdir -p $(TOOLS)
	cd tools/gopls && $(GO) build -o $@ golang.org/x/tools/gopls

generate: ## generate protobuf code (requires protoc and protoc-gen-go); commit the result
	protoc --go_out=. --go_opt=module=github.com/primrosenotch/primrosenotch internal/link/linkpb/link.proto internal/ledger/ledgerpb/ledger.proto

clean:
	rm -rf $(BIN) run
