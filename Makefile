# Quick start: `make run` shows the system at work, `make test` runs the tests.
BUILD ?= build
TYPE ?= Release
SANITIZE ?= OFF

.PHONY: run test build packages format tidy

run: build
	$(BUILD)/walkthrough

test: build
	tools/run-tests.sh $(BUILD)

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(TYPE) -DGOLDCRESTCLEAT_SANITIZE=$(SANITIZE)
	cmake --build $(BUILD)

packages:
	tools/install-packages.sh

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

tidy: build
	tools/tidy.sh $(BUILD)
