PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check format clean

demo: $(STAMP)
	$(BIN)/cactusstile local --demo

test: check
	$(BIN)/python -m pytest $(ARGS)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV)
