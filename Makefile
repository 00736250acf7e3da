GO ?= go
BIN := bin
SEED ?= 1
DURATION ?= 30
FORMAT ?= table

# Seeds of the randomised runs of make prove.
PROVE_SEEDS ?= 1 4 8

# Time or number of inputs for each fuzz target.
FUZZTIME ?= 20000x

# Which tests of misused connections to run: ci, or full with the machines in service.
SET ?= ci

.PHONY: build build-faults test lint scenario abuse fuzz demo bench prove chaos slopes latency cluster clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Binaries whose links can be cut and slowed, for failure tests.
build-faults:
	$(GO) build -tags faults -o $(BIN)/faults/ ./cmd/...

test:
	.ci/test

lint:
	.ci/lint

# The scripted scenarios at CI length.
scenario:
	skip=$$(.ci/known-red) && $(GO) test -count=1 -timeout 170s $${skip:+"$$skip"} ./test/scenario -set ci

# Clients that misuse their connections. The tests measure memory, so they run one at a
# time and apart from the others.
abuse:
	skip=$$(.ci/known-red) && $(GO) test -count=1 -p 1 -timeout 580s $${skip:+"$$skip"} ./platform/abusetest ./test/abusetest -set $(SET) -seed $(SEED)

# The decoders of the users' platform and of stored names.
fuzz:
	for target in FuzzDecodeJob FuzzDecodeLists FuzzDecodeConfig; do \
	  $(GO) test ./platform -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) || exit 1; done
	$(GO) test ./internal/workflow -run '^$$' -fuzz '^FuzzParseTaskID$$' -fuzztime $(FUZZTIME)

chaos: build-faults
	timeout $$(( $(DURATION) + 170 )) $(GO) run ./test/chaos -seed $(SEED) -duration $(DURATION)

# All proofs: the checks themselves, all scenarios at full length, random runs.
prove: build-faults
	$(GO) test -count=1 -timeout 60s ./test/history
	$(GO) test -count=1 -timeout 500s ./test/scenario -set full
	for seed in $(PROVE_SEEDS); do $(MAKE) chaos SEED=$$seed DURATION=20 || exit 1; done

demo: build
	$(GO) run ./test/demo -bin $(BIN)

bench:
	$(GO) run ./cmd/bench --format $(FORMAT)
	$(GO) run ./cmd/bench --workflows

# What the processes use against each size; SHORT=1 for a run of 90 s.
slopes: build
	$(GO) run ./test/scaling -bin $(BIN) -format $(FORMAT) $(if $(SHORT),-short)

# Added latency, and jobs a second within the platform's limits.
latency: build
	$(GO) run ./test/scaling -bin $(BIN) -format $(FORMAT) -only latency,throughput

# A deployment on loopback that runs until it is interrupted.
MANIFEST ?= examples/al-wusta.yaml
cluster: build
	$(GO) run ./test/deployment -bin $(BIN) -manifest $(MANIFEST)

clean:
	rm -rf $(BIN) out
