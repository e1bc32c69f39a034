# Entry points for people and CI. VENV may name an environment made elsewhere.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)

.PHONY: install demo fleet test format lint types unit model model-mutants bench-path bench-slopes bench-policy bench-gateways bench-recovery bench-drill ablation failures mutations explore

$(VENV)/.installed: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation --editable . \
		|| $(PYTHON) -m pip install --quiet --no-deps --editable .
	touch $@

install: $(VENV)/.installed

demo: install
	$(PYTHON) -m standins.demo

fleet: install
	$(PYTHON) -m standins.demo --stay

test: lint types unit failures model model-mutants

format: install
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

types: install
	$(VENV)/bin/mypy

unit: install
	$(PYTHON) -m tests.run

failures: install
	$(PYTHON) -m tests.run_processes

mutations: install
	$(PYTHON) -m tests.run_mutations

explore: install
	$(PYTHON) -m tests.process_explorer

bench-path: install
	$(PYTHON) -m bench.path

bench-slopes: install
	$(PYTHON) -m bench.slopes

bench-policy: install
	$(PYTHON) -m bench.policy

bench-gateways: install
	$(PYTHON) -m bench.gateway_policy

bench-recovery: install
	$(PYTHON) -m bench.recovery

bench-drill: install
	$(PYTHON) -m bench.store_drill --gateways 10
	$(PYTHON) -m bench.store_drill --gateways 45

ablation: install
	$(PYTHON) -m bench.ablation

build/.model-checker:
	mkdir -p build
	command -v spin gcc >/dev/null || (apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev)
	touch $@

model: install build/.model-checker
	$(PYTHON) -m models.check

model-mutants: install build/.model-checker
	$(PYTHON) -m models.check --mutants
