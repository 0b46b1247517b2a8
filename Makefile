PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
DURATION_S ?= 120

.PHONY: setup demo demo-zones mutations rounds test lint bench bench-site
.PHONY: slopes slopes-site log-cost plots soak soak-site load clean

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

soak-site: setup
	$(BIN)/python -m harness.site_soak --seed $(SEED) --duration-s $(DURATION_S) $(SITE_SOAK_OPTIONS)

bench: setup bench-site
	$(BIN)/python -m benchmarks.bench

bench-site: setup
	$(BIN)/python -m benchmarks.site_bench

slopes: setup slopes-site
	$(BIN)/python -m benchmarks.slopes

slopes-site: setup
	$(BIN)/python -m benchmarks.site_slopes

log-cost: setup
	$(BIN)/python -m benchmarks.log_cost

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
