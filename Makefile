# make test: run the tests in a virtual environment of their own, four at a time (WORKERS).
# make lint: check format, ruff, types and import contracts.
# make demo: run a small fleet and show it live, for at most 40 s.
# make demo-addresses: run three sites with shared addresses, of which one fails.
# make clean: remove the virtual environment and the lab's output.
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
