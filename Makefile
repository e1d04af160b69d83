# Targets: install, demo, capacity, test, prove, mutants, soak, codestyle, types,
# format, clean.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
ARGS ?=
STEPS ?= 80
HISTORIES ?= 5
SEED ?= 1
MINUTES ?= 1

.PHONY: install demo capacity test prove mutants soak codestyle types format clean

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: install
	@$(BIN)/python -m tamarackmount.demo $(ARGS)

capacity: install
	@$(BIN)/python -m tamarackmount.bench capacity $(ARGS)

test: install
	$(BIN)/python -m pytest $(ARGS)

prove: install
	PROVE_STEPS=$(STEPS) PROVE_HISTORIES=$(HISTORIES) PROVE_SEED=$(SEED) \
		$(BIN)/python -m pytest $(wildcard tests/test_*machine.py)

mutants: install
	$(BIN)/python -m tests.utils.mutants

soak: install
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES) $(ARGS)

codestyle: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

types: install
	$(BIN)/mypy

format: install
	$(BIN)/ruff check --fix-only --quiet .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache build *.egg-info
