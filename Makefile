PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check format bench clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

test: $(STAMP) check
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check primroseyoke tests bench demo
	$(BIN)/flake8 primroseyoke
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format primroseyoke tests bench demo

bench: $(STAMP)
	$(BIN)/python -m bench

clean:
	rm -rf $(VENV) build *.egg-info
