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
	$(BIN)/python -m pytest -q

demo: setup
	$(BIN)/python examples/demo.py

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info
