PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
SEED ?= 1
SEEDS ?= 8

.PHONY: demo test lint bench compare soak clean

$(READY): requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --requirement requirements.txt
	touch $@

demo: $(READY)
	$(BIN)/dahliaarch demo --seed $(SEED)

test: $(READY)
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

bench: $(READY)
	$(BIN)/dahliaarch bench --seed $(SEED)

compare: $(READY)
	$(BIN)/dahliaarch compare --deployment meters --seed $(SEED)
	$(BIN)/dahliaarch compare --deployment cars --seed $(SEED)

soak: $(READY)
	$(BIN)/dahliaarch soak --first $(SEED) --seeds $(SEEDS)

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform tools
	$(BIN)/mypy packages platform tools
	$(BIN)/python tools/words.py
	$(BIN)/lint-imports

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache .hypothesis
