# Set-up, tests, checks and the demonstration run on a machine with
# Python 3.11, pip and make.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SECONDS ?= 60
SEED ?= 1

.PHONY: install test lint format types demo soak soak-platform measure clean

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --no-deps --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(VENV)/.installed

install: $(VENV)/.installed

test: install
	$(PYTHON) -m pytest

lint: install
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m flake8 hornbeamline

format: install
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

types: install
	$(PYTHON) -m mypy

demo: install
	$(PYTHON) -m hornbeamline demo

soak: install
	$(PYTHON) -m pytest tests/soak --soak-seconds $(SECONDS) --soak-seed $(SEED)

soak-platform: install
	$(PYTHON) -m pytest tests/soak/platform --soak-seconds $(SECONDS) --soak-seed $(SEED)

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache .hypothesis
