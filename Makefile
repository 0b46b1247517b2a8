PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
DURATION_S ?= 120

.PHONY: setup demo demo-zones mutations rounds test lint bench slopes plots soak load clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m harness.site_demo

demo-zones: setup
	$(BIN)/python -m harness.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

clean:
	rm -rf $(VENV) build *.egg-info

soak: setup
	$(BIN)/python -m harness.soak --seed $(SEED) --duration-s $(DURATION_S)

bench: setup
	$(BIN)/python -m benchmarks.bench

slopes: setup
	$(BIN)/python -m benchmarks.slopes

mutations: setup
	$(BIN)/python -m harness.mutations

plots: setup
	$(BIN)/python -m benchmarks.bench > build-bench.out
	$(BIN)/python -m benchmarks.plots build-bench.out
	rm build-bench.out

rounds: setup
	$(BIN)/python -m benchmarks.rounds

load: setup
	$(BIN)/python -m harness.load
