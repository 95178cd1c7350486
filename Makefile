# Two commands on a fresh machine with Python 3.11: `make demo` runs everything on loopback, `make check` tests it.
PYTHON ?= python3
BIN = .venv-dev/bin
# Tests that fail for a real fault, one a line: `check` prints them and passes over just these.
KNOWN_RED = grep -sE '^[^\#[:space:]]' KNOWN-RED.txt

# A short soak of real processes, after the tests: beside them it would be late.
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

# Made anew when the list of requirements has changed; the mark is set only when pip has succeeded.
.venv-dev/complete: pyproject.toml
	rm -f $@
	$(PYTHON) -m venv .venv-dev
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@
