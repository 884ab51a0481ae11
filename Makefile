PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
WORKERS ?= 8
# Each of the process tests runs up to 20 processes.
PROCESS_TEST_WORKERS ?= 4

.PHONY: setup test demo bench lint format clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev,experiment]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest -n $(WORKERS) --ignore tests/system
	$(BIN)/python -m pytest -n $(PROCESS_TEST_WORKERS) tests/system

demo: $(STAMP)
	$(BIN)/python examples/demo.py

bench: $(STAMP)
	$(BIN)/python -m benchmarks

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info
