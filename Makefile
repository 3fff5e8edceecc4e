PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: venv demo test lint types binary format

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: venv
	$(BIN)/mustardward demo

test: venv
	$(BIN)/python -m pytest

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

types: venv
	$(BIN)/mypy --strict -p mustardward

binary: venv
	$(BIN)/python -m bench.binary
