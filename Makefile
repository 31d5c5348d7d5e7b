# To try the project, run make demo and make test. CI runs make check.
MODULES := ./tier/... ./platform/... ./api/... ./cicadagraded/... ./cicadagrade/... ./standin/...
MODULE_DIRS := tier platform api cicadagraded cicadagrade standin
LINT_VERSION := v2.15.0
BIN := $(CURDIR)/.bin
# The tests that KNOWN-RED.txt lists, joined to a pattern for go test -skip.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
# The tests of crowds of callers measure processes, so that they run by themselves, one at a time.
CROWDS := ./standin/crowder
LINT := $(BIN)/golangci-lint-$(LINT_VERSION)

.PHONY: demo failures measure soak test crowds check build format lint tidy bare race

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cicadagraded ./cicadagrade ./standin

demo: build
	@./demo/run.sh $(BIN)

# Injects failures under load into real processes; takes about four minutes.
failures: build
	@./demo/failures.sh $(BIN)

# Makes the measurements of docs/measuring.md with real processes; takes about
# twelve minutes.
measure: build
	@./demo/measure.sh $(BIN)

# Injects random faults into real processes and checks the guarantees; 80 s per
# run. Makes RUNS runs; the first has the seed SEED, each other one the next seed.
SEED ?= 1
RUNS ?= 1
soak: build
	$(BIN)/standin soak --program $(BIN)/cicadagraded --seed $(SEED) --runs $(RUNS)

test:
	@if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
	go test $(SKIP) $$(go list $(MODULES) | grep -vx "$$(go list $(CROWDS))")
	@$(MAKE) --no-print-directory crowds

crowds:
	go test -count=1 $(SKIP) $(CROWDS)

race:
	go test -race $(SKIP) $$(go list $(MODULES) | grep -vx "$$(go list $(CROWDS))")

check: tidy format lint bare test

tidy:
	@for d in $(MODULE_DIRS); do (cd $$d && GOWORK=off go mod tidy -diff) || exit 1; done

format: $(LINT)
	$(LINT) fmt --diff $(MODULES)

lint: $(LINT)
	$(LINT) run $(MODULES)

# Fails on go statements: goroutines must be started through a group.
bare:
	@! grep -rnE --include='*.go' '^[[:space:]]*go (func|[a-z])' $(MODULE_DIRS)

$(LINT):
	@mkdir -p $(BIN)
	GOBIN=$(BIN) GOWORK=off GOFLAGS=-mod=mod go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@mv $(BIN)/golangci-lint $(LINT)
