# Daily commands; each installs what it needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := core policy state platform backends peer entry standins trials cli
STAMP := $(VENV)/installed

.PHONY: demo test faults faults-full bench slopes binary lock check format proto traces lock clean

demo: $(STAMP)
	$(BIN)/toucanlead demo

test: $(STAMP)
	$(BIN)/python -m pytest

faults: $(STAMP)
	$(BIN)/toucanlead faults

faults-full: $(STAMP)
	$(BIN)/toucanlead faults --full

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

proto:
	tools/generate_proto.sh

$(STAMP): requirements-dev.lock $(wildcard libs/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach lib,$(LIBS),-e libs/$(lib))
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist
