# Two commands set up a fresh machine: `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench lint format wire clean

$(STAMP): requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	$(BIN)/python -m tests.run

bench: $(STAMP)
	$(BIN)/python -m bench.run

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Needs the thrift compiler; the generated code is committed.
wire:
	thrift --gen py:slots -out . sequoiafall/wire/sequoiafall.thrift
	rm -f __init__.py

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache build
