# make test: the tests in a virtual environment of their own, four at a time (WORKERS).  make demo: a small fleet, shown live, 40 s at most.  make demo-addresses: three sites, one lost.
PYTHON ?= python3
VENV ?= .venv-dev
WORKERS ?= 4
READY := $(VENV)/.ready

.PHONY: test lint demo demo-addresses clean

$(READY): pyproject.toml requirements.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt
	$(VENV)/bin/pip -q install -e '.[dev]'
	touch $@

test: $(READY)
	$(VENV)/bin/python -m pytest -q -n $(WORKERS) --dist worksteal

lint: $(READY)
	$(VENV)/bin/ruff format --check onyxhollow tests benchmarks
	$(VENV)/bin/ruff check onyxhollow tests benchmarks
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

demo-addresses: $(READY)
	@$(VENV)/bin/python -m onyxhollow lab demo-addresses

demo: $(READY)
	@$(VENV)/bin/python -m onyxhollow lab demo

clean:
	rm -rf $(VENV) found
