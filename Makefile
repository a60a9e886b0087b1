PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
ARGS ?=

.PHONY: bench demo test lint format protocol hotpaths

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/mangogauge demo $(ARGS)

test: $(VENV)/.ready
	$(BIN)/python -m features.run $(ARGS)

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

protocol: $(VENV)/.ready
	$(BIN)/python -m grpc_tools.protoc -I mangogauge/protocol \
		--python_out=mangogauge/protocol mangogauge/protocol/*.proto

bench: $(VENV)/.ready
	$(BIN)/python -m bench $(SCENARIO) --seed $(or $(SEED),1) $(ARGS)

hotpaths: $(VENV)/.ready
	$(BIN)/python -m bench.hotpaths $(ARGS)
