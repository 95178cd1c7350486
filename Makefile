# Both targets need only Python 3.11: `make demo` runs a node with emulated servers on loopback, `make check` runs
# the checks and tests.
PYTHON ?= python3
BIN = .venv-dev/bin
# Tests that fail because of a known fault, one per line: `check` prints them and does not run them.
KNOWN_RED = grep -sE '^[^\#[:space:]]' KNOWN-RED.txt

# Options of the soak, which runs after the tests because load would delay its timers.
SOAK = --seed 11 --seconds 20 --processes 8

.PHONY: demo check

demo: .venv-dev/complete
	$(BIN)/rosewheel demo

check: .venv-dev/complete
	@$(KNOWN_RED) | sed 's/^/known red, passed over: /'
	$(BIN)/ruff check . && $(BIN)/ruff format --check . && $(BIN)/mypy \
		&& $(BIN)/lint-imports \
		&& $(BIN)/pytest $$($(KNOWN_RED) | awk '{ print "--deselect", $$1 }') \
		&& $(BIN)/rosewheel soak node $(SOAK)

# The environment is rebuilt when pyproject.toml changes. The file `complete` is created only after pip succeeded.
.venv-dev/complete: pyproject.toml
	rm -f $@
	$(PYTHON) -m venv .venv-dev
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@
