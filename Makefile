# Commands for developers and CI; see README.md.

VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)/src
export PYTHONHASHSEED := 0

.PHONY: env local test format lint types unit features measure soak lock

# With VENV= set to another environment, nothing is installed into it.
ifeq ($(VENV),.venv)
env: $(VENV)/.installed
else
env:
endif

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	$(PY) -m pip install --quiet --no-deps -e .
	touch $@

local: env
	$(VENV)/bin/bramley-local

test: env lint types unit features

format: env
	$(VENV)/bin/ruff format src tests features
	$(VENV)/bin/ruff check --fix src tests features

lint: env
	$(VENV)/bin/ruff format --check src tests features
	$(VENV)/bin/ruff check src tests features

types: env
	$(VENV)/bin/mypy

unit: env
	$(PY) -m pytest

features: env
	$(PY) -m behave --format progress --no-capture

measure: env
	$(PY) -m bramleyrouter.measure.main

SEEDS ?= 50
FIRST_SEED ?= 1

soak: env
	$(PY) -m tests.soak.main --seeds $(SEEDS) --first-seed $(FIRST_SEED)

lock: env
	$(PY) -m pip freeze --exclude-editable > requirements.lock
