# Two commands for a fresh Debian machine: "make demo" and "make test".
BUILD ?= build
SANITIZED ?= build-sanitized
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
UNITS = $(filter %.cpp,$(SOURCES))

.PHONY: deps build test demo bench fuzz format format-check lint

deps:
	@scripts/install-deps.sh

build: deps
	@cmake -G Ninja -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD)

test: build
	@cmake -G Ninja -S . -B $(SANITIZED) -DCMAKE_BUILD_TYPE=Debug -DGS_SANITIZE=ON >/dev/null
	@cmake --build $(SANITIZED) --target test-core test-config
	@scripts/run-tests.sh $(BUILD) $(SANITIZED)

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@scripts/bench.sh $(BUILD)

fuzz: build
	@scripts/fuzz.sh $(BUILD)

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@printf '%s\n' $(UNITS) | xargs -P 8 -n 1 clang-tidy -p $(BUILD) --quiet
