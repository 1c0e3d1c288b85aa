PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

.PHONY: demo test lint
demo: $(STAMP)
	$(VENV)/bin/python examples/demo.py $(ARGS)

test: $(STAMP)
	$(VENV)/bin/python -m pytest $(ARGS)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
