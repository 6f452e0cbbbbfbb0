GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = build

.PHONY: build test lint format run up down bench microbench soak routersoak capacity overhead

build: ## Builds the programs into build/.
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test: build ## Runs all tests; cases in KNOWN-RED.txt are skipped and printed.
	./scripts/test.sh

format: ## Rewrites the sources in the project's format.
	$(TOOL) gofumpt -w cmd internal pkg platform scenarios

lint: ## Checks format and style.
	@unformatted=$$($(TOOL) gofumpt -l cmd internal pkg platform scenarios); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(TOOL) golangci-lint run ./...

run: build ## Starts both example deployments, shows one answer and one order, stops.
	$(BIN)/standin run --dir examples

up: build ## Starts both example deployments and prints their addresses.
	$(BIN)/standin up --dir examples

down: ## Stops gracefully what make up started.
	$(BIN)/standin down

bench: build ## Loads deployments of the real sizes and writes bench/report.md and bench/report.html.
	$(BIN)/standin load --dir examples $(BENCH)

microbench: ## Runs the benchmarks beside the code.
	$(GO) test -run '^$$' -bench . -benchmem ./internal/... ./pkg/...

capacity: build ## Measures the slopes of docs/CAPACITY.md; ONLY=NAME measures one series.
	$(BIN)/capacity $(if $(ONLY),--only $(ONLY),--out docs/CAPACITY.md)

soak: build ## Runs the chaos test for ten minutes; SEED selects the mix of faults.
	CHAOS_SEED=$(or $(SEED),1) CHAOS_SECONDS=600 $(GO) test -count=1 -v -timeout 30m -run '^TestChaos$$' ./scenarios

routersoak: ## Soaks routers and reporters; SEEDS and SECONDS select how much, SOAK another test than TestSoak.
	SOAK_SEEDS=$(or $(SEEDS),1-50) SOAK_SECONDS=$(or $(SECONDS),5) $(GO) test -count=1 -v -timeout 60m -run '^$(or $(SOAK),TestSoak)$$' ./platform/soak

overhead: build ## Measures what the path adds to each token, for STREAMS streams.
	MEASURE_STREAMS=$(or $(STREAMS),2000) $(GO) test -count=1 -v -timeout 10m -run '^TestStreamOverhead$$' ./scenarios
