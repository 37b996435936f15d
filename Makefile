VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin

.PHONY: setup test soak lint format demo measure clean

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

test: setup
	$(BIN)/python -m pytest -q --numprocesses 6

soak: setup
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest -q tests/test_once.py tests/test_delivery.py \
		tests/test_state.py tests/test_membership.py

demo: setup
	$(BIN)/python examples/demo.py

measure: setup
	$(BIN)/python -m measure

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info
