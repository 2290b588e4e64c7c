# make demo   installs what is missing, builds, shows an answer surviving the loss of its engine
# make test   installs what is missing, builds, runs every test

BUILD ?= build
JOBS  ?= $(shell nproc)

# Fault soak: SEED is the first seed, SEEDS their number, SECONDS the time with faults of each.
SEED    ?= 1
SEEDS   ?= 10
SECONDS ?= 20

# Schedules of a gateway, and of gateways that share a table; the first seed is SEED. Ends after this
# many FAILURES.
SCHEDULES ?= 100000
FAILURES  ?= 1

.PHONY: all deps build demo test test-asan test-tsan explore soak soak-broken bench fuzz format format-check lint generate clean

all: build

deps:
	scripts/install-deps

build: deps
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) >$(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	$(BUILD)/dotterellock-demo $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure
	@if [ -e KNOWN-RED.txt ]; then echo "known failures, left out above:"; cat KNOWN-RED.txt; fi

test-asan:
	$(MAKE) build BUILD=build-asan CMAKE_FLAGS="-DDOTTERELLOCK_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=RelWithDebInfo"
	ctest --test-dir build-asan --output-on-failure -R unit

test-tsan:
	$(MAKE) build BUILD=build-tsan CMAKE_FLAGS="-DDOTTERELLOCK_SANITIZE=thread -DCMAKE_BUILD_TYPE=RelWithDebInfo"
	ctest --test-dir build-tsan --output-on-failure -R unit

explore: build
	SEED=$(SEED) SCHEDULES=$(SCHEDULES) FAILURES=$(FAILURES) $(BUILD)/dotterellock_tests "[.explore]"

soak: build
	scripts/soak $(BUILD) seeds $(SEED) $(SEEDS) --seconds $(SECONDS)

soak-broken: build
	scripts/soak $(BUILD) broken

bench: build
	scripts/bench $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cpp' '*.hpp' | grep -v '^gen/' | xargs clang-format -i

format-check:
	git ls-files '*.cpp' '*.hpp' | grep -v '^gen/' | xargs clang-format --dry-run -Werror

generate:
	thrift --gen cpp:no_skeleton,moveable_types,no_ostream_operators,no_default_operators,templates -out gen src/wire/dotterellock.thrift

lint: build
	scripts/check-core
	scripts/check-names
	scripts/lint $(BUILD)

clean:
	rm -rf build build-asan build-tsan
