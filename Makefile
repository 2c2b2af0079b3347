# Development commands. Each creates the virtual environment if it is needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := core policy state kv backends peer archive replicas links teams serving entry standins trials cli
DIRS := $(foreach lib,$(LIBS),libs/$(lib)) platform
STAMP := $(VENV)/installed

.PHONY: demo test faults faults-full soak fuzz bench slopes binary lock check format proto traces lock clean

demo: $(STAMP)
	$(BIN)/toucanlead demo

test: $(STAMP) dist/toucanlead
	$(BIN)/python -m pytest

faults: $(STAMP)
	$(BIN)/toucanlead faults

faults-full: $(STAMP)
	$(BIN)/toucanlead faults --full

soak: $(STAMP)
	TOUCANLEAD_SOAK_SEEDS=1-50 TOUCANLEAD_SOAK_S=15 $(BIN)/python -m pytest tests/soak

fuzz: $(STAMP)
	TOUCANLEAD_FUZZ=1 $(BIN)/python -m pytest tests/test_state.py tests/platform/test_budgets.py

bench: $(STAMP)
	$(BIN)/toucanlead bench

slopes: $(STAMP)
	$(BIN)/toucanlead slopes

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

traces: $(STAMP)
	$(BIN)/python tools/write_traces.py

binary: dist/toucanlead

dist/toucanlead: $(STAMP) $(wildcard libs/*/toucanlead*/*.py platform/toucanlead*/*.py)
	rm -rf build/site dist $(foreach dir,$(DIRS),$(dir)/build)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock --target build/site
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --target build/site $(foreach dir,$(DIRS),./$(dir))
	mkdir -p dist
	$(BIN)/shiv --site-packages build/site --compressed --entry-point toucanlead.__main__:run --python '/usr/bin/env python3.11' --output-file dist/toucanlead

lock:
	pip-compile --generate-hashes --allow-unsafe --no-emit-index-url --no-emit-find-links --no-header --strip-extras -o requirements-dev.lock requirements-dev.in
	pip-compile --generate-hashes --allow-unsafe --no-emit-index-url --no-emit-find-links --no-header --strip-extras -c requirements-dev.lock -o requirements.lock requirements.in

proto:
	tools/generate_proto.sh

$(STAMP): requirements-dev.lock $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach dir,$(DIRS),-e $(dir))
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist
