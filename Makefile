# Makefile of indigobarrow. "make demo" and "make test" set up what they need.

GO ?= go
BIN := bin

.PHONY: all help build demo test check unit model long bench generate lab fuzz setup-model soak soak-regressions soak-shrink

# all builds the programs.
all: build

# help lists the targets with what stands before them here.
help:
	@awk '/^#/ { if (text == "") text = substr($$0, 3); else text = text " " substr($$0, 3); next } \
		/^[a-z][a-z-]*:/ { name = $$1; sub(":", "", name); printf "  %-18s %s\n", name, text } { text = "" }' Makefile

# build builds the programs into bin/.
build:
	$(GO) build -o $(BIN)/ ./cmd/...

# demo runs the main job in one process on loopback.
demo: build
	./$(BIN)/indigobarrow demo

# test is what CI runs.
test: check model unit

# check runs the formatter and the linters.
check:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "gofmt: the files above differ"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Tests that KNOWN-RED.txt lists are run apart, printed, and passed over.
KNOWN_RED := $(shell cut -d: -f1 KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

# unit runs all tests.
unit: build
	INDIGOBARROW_BIN=$(CURDIR)/$(BIN) $(GO) test -count=1 -timeout 12m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...
	@if [ -n "$(KNOWN_RED)" ]; then cat KNOWN-RED.txt; \
		INDIGOBARROW_BIN=$(CURDIR)/$(BIN) $(GO) test -count=1 -run '^($(KNOWN_RED))$$' ./... || echo "known red: failed, passed over"; fi

# model checks the specifications; every guard's mutant must be caught.
model: setup-model
	./model/check.sh

# setup-model installs what model needs.
setup-model:
	@command -v spin >/dev/null && command -v gcc >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev; }

# long runs the property tests with fresh seeds and many more cases.
long: build
	INDIGOBARROW_LONG=1 $(GO) test -count=1 -timeout 60m ./internal/lab/ ./internal/core/ -rapid.checks=400

# bench measures speeds.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/rule/ ./internal/router/ ./internal/flowtable/ ./internal/frame/ ./internal/dataplane/ ./internal/explain/ ./internal/tokenroute/ ./internal/directory/ ./internal/replication/ ./internal/balancer/ ./platform/

# fuzz runs the fuzzers for some minutes.
fuzz:
	$(GO) test -run '^$$' -fuzz FuzzDecode -fuzztime 60s ./internal/frame/
	$(GO) test -run "^$$" -fuzz FuzzDecode -fuzztime 30s ./platform/
	$(GO) test -run "^$$" -fuzz FuzzDocuments -fuzztime 30s ./platform/
	$(GO) test -run "^$$" -fuzz FuzzInvalidEntryBesideValidOnes -fuzztime 30s ./platform/
	$(GO) test -run "^$$" -fuzz FuzzReceivedEntries -fuzztime 30s ./internal/tokenroute/
	$(GO) test -run "^$$" -fuzz FuzzBalancerSettings -fuzztime 30s ./internal/settings/

# lab runs the failure scenarios at both users' sizes.
lab: build
	./$(BIN)/indigobarrow lab run --report lab-report.html

# generate writes the code of the schemas anew; the build does not need it.
generate:
	protoc -I proto --go_out=. --go_opt=module=github.com/indigobarrow/indigobarrow \
		--go-drpc_out=. --go-drpc_opt=module=github.com/indigobarrow/indigobarrow \
		proto/indigobarrow/v1/*.proto

# SOAK_MINUTES is how many times soak runs.
SOAK_MINUTES ?= 5
# What soaks keep: plan and report, and on a breach logs and story.
SOAK_KEEP ?= $(CURDIR)/target/soak
SOAK_RUN := $(GO) test -count=1 -timeout 90m
SOAK := INDIGOBARROW_BIN=$(CURDIR)/$(BIN) INDIGOBARROW_SOAK_KEEP=$(SOAK_KEEP) $(SOAK_RUN)
# soak runs real processes under random faults, a fresh seed each minute; see docs/operators/soak.md.
soak: build
	@for minute in $$(seq $(SOAK_MINUTES)); do \
		INDIGOBARROW_SOAK_SECONDS=45 INDIGOBARROW_SOAK_SEED=$$(date +%s) $(SOAK) -run '^TestSoak$$' -v ./test/e2e/ || exit 1; \
	done

# soak-regressions replays the plans that once failed; each keeps its report in a folder of its own.
soak-regressions: build
	@grep -v '^#' test/soak/seeds.txt | while read -r plan seed seconds cause; do \
		INDIGOBARROW_BIN=$(CURDIR)/$(BIN) INDIGOBARROW_SOAK_KEEP=$(SOAK_KEEP)/$$plan \
			INDIGOBARROW_SOAK_PLAN=$(CURDIR)/test/soak/plans/$$plan.plan \
			$(SOAK_RUN) -run '^TestSoak$$' ./test/e2e/ || exit 1; \
	done

# soak-shrink makes the failing plan in the file PLAN smaller, in place.
soak-shrink: build
	INDIGOBARROW_SOAK_SHRINK=$(abspath $(PLAN)) $(SOAK) -run TestSoakShrink -v ./test/e2e/
