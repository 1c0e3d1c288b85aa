PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

# Folder with the users' site files, and their bench.
KIT = $(error set KIT to the folder with the users' site files)
BENCH = $(error set BENCH to the users' bench)
REGRESSION_SITES := sites/wadi-benches sites/skjal-fleet grown/wadi-benches-grown \
	grown/skjal-fleet-grown large/wadi-benches-large

.PHONY: demo test lint regress
regress:
	for site in $(REGRESSION_SITES); do \
		$(BENCH) score $(KIT)/$$site.toml --quick --jobs 3 --why "$(WHY)" || exit 1; \
	done

demo: $(STAMP)
	$(VENV)/bin/python examples/demo.py $(ARGS)

test: $(STAMP)
	$(VENV)/bin/python -m pytest $(ARGS)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
