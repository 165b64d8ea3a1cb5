VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: env test scenarios demo check format measure binary soak

env: $(STAMP)

$(STAMP): requirements/run.txt requirements/dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements/run.txt -r requirements/dev.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e . || \
		$(PY) -m pip install -q --no-deps -e .
	touch $(STAMP)

test: env
	$(PY) -m pytest

scenarios: env
	$(PY) -m pytest tests/scenarios -m "slow or not slow"

check: env
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

format: env
	$(PY) -m ruff format .
	$(PY) -m ruff check -q --fix --unsafe-fixes --select TC,I,F401,UP .
	$(PY) -m ruff format -q .
	$(PY) -m ruff check --fix .

demo: env
	$(PY) -m demo

measure: env
	$(PY) -m measure

binary: env
	$(PY) -m binary

# SEED and SEEDS choose what is run; fresh seeds are drawn without SEED.
SEEDS ?= 5
soak: env
	$(PY) -m soak --seeds $(SEEDS) $(if $(SEED),--seed $(SEED))
