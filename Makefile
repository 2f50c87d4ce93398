# make demo: install, build, serve requests through separate processes on loopback.
# make test: install, build, run all tests.
# make soak SEEDS=A..B: random faults with the workloads of both users in the simulator; fails on a violation.
# make soak-processes SECONDS=60 SEED=1 [NODES=6] [PLAN=soak_cuts]: balancer processes on loopback
# under random faults, or under zone partitions with CPU limits, silent backends and replacements.
# SOAK_SECOND_PROGRAM=path of another build's lugfork-packetd: every second balancer runs that one.
.PHONY: demo test soak soak-processes build packages format format-check lint clean

build: packages
	cmake --preset release > /dev/null
	cmake --build --preset release

packages:
	@bash scripts/install-packages.sh

demo: build
	bash scripts/demo.sh build

test: build
	bash scripts/run-tests.sh

SEEDS ?= 1..200
soak: build
	build/lugfork-sim run --scenario scenarios/radio.toml --seeds $(SEEDS) --each-seed
	build/lugfork-sim run --scenario scenarios/veroapu.toml --seeds $(SEEDS) --each-seed

SECONDS ?= 60
SEED ?= 1
PLAN ?= soak
soak-processes: build
	SOAK_SECONDS=$(SECONDS) SOAK_SEED=$(SEED) SOAK_NODES=$(NODES) \
	  SOAK_SECOND_PROGRAM=$(SOAK_SECOND_PROGRAM) build/soak_tests "[$(PLAN)]"

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i

format-check:
	git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	git ls-files 'src/*.cc' 'platform/*.cc' 'tests/*.cc' 'bench/*.cc' | xargs -P "$$(nproc)" -n 4 clang-tidy -p build --quiet

clean:
	rm -rf build
