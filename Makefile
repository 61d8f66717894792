# Commands for developers and for a first run. Every target installs its dependencies.

SHELL := /bin/bash
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= dat-mun-xanh
STAMP := $(VENV)/.installed

.PHONY: seeds soak overhead demo up test format lint types imports unit bench capacity clean

demo: $(STAMP)  ## Run one deployment end to end and print the measurements.
	$(BIN)/python -m rosemaryward.bench demo --deployment $(DEPLOYMENT)

up: $(STAMP)  ## Run test doubles and six proxies until interrupted.
	$(BIN)/python -m rosemaryward.bench up --deployment $(DEPLOYMENT)

bench: $(STAMP)  ## Measure all targets for both deployments; about eight minutes.
	$(BIN)/python -m rosemaryward.bench bench

overhead: $(STAMP)  ## Measure latency, processor time and memory of the proxies.
	$(BIN)/python -m rosemaryward.bench overhead --deployment $(DEPLOYMENT)

capacity: $(STAMP)  ## Measure membership and configuration by fleet size.
	$(BIN)/python -m rosemaryward.bench.capacity

test: lint types imports unit  ## Run formatter check, linter, type checks and tests.

format: $(STAMP)
	$(BIN)/ruff format packages platform deploy conftest.py
	$(BIN)/ruff check --fix packages platform deploy conftest.py

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform deploy conftest.py
	$(BIN)/ruff check packages platform deploy conftest.py

types: $(STAMP)
	$(BIN)/mypy $(wildcard packages/*/src) platform/src

imports: $(STAMP)
	$(BIN)/lint-imports --no-cache

unit: $(STAMP)
	$(BIN)/python -m pytest -n 4

seeds: $(STAMP)  ## Run every fault with 200 seeds instead of 20; takes minutes.
	ROSEMARYWARD_ALL_SEEDS=1 $(BIN)/python -m pytest -n 4 -k test_no_false_promotion

SEEDS ?= 5

soak: $(STAMP)  ## Inject random faults into real proxies, in SEEDS runs.
	$(BIN)/python -m rosemaryward.bench soak --seeds $(SEEDS)

$(STAMP): pyproject.toml $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet "uv>=0.5"
	UV_PROJECT_ENVIRONMENT=$(VENV) $(BIN)/uv sync --quiet --inexact
	touch $(STAMP)

clean:
	rm -rf $(VENV) out .mypy_cache .ruff_cache .hypothesis
