# VENV may point to an environment that already holds the dependencies.
VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=src:. PYTHONHASHSEED=0 $(VENV)/bin/python
PATHS = src tests bench tools

.PHONY: check golden demo test lint format types bench binary test-binary fuzz docs structs

$(VENV)/.installed: pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]' 2>&1 | grep -v 'is ignored' || true
	$(VENV)/bin/python -c "import aiohttp, sanic, nose2, ruff"
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m bench demo

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check $(PATHS)
	$(VENV)/bin/ruff check $(PATHS)

types: $(VENV)/.installed
	$(VENV)/bin/mypy

format: $(VENV)/.installed
	$(VENV)/bin/ruff check --fix --quiet $(PATHS) || true
	$(VENV)/bin/ruff format $(PATHS)

test: check test-binary

check: lint types
	$(RUN) -m nose2 -v -s tests -t .

bench: $(VENV)/.installed
	$(RUN) -m bench report

binary: $(VENV)/.installed
	$(RUN) tools/binary.py

test-binary: binary
	GERANIUMBEND_PROGRAM=dist/geraniumbend $(RUN) -m nose2 -v -s tests -t . tests.tools.binary_program

docs: $(VENV)/.installed
	$(RUN) tools/reference.py

structs: $(VENV)/.installed
	$(RUN) tools/structs.py

golden: $(VENV)/.installed
	GERANIUMBEND_WRITE_GOLDEN=1 $(RUN) -m nose2 -v -s tests -t . tests.golden

# FACTOR times as many examples as in CI, with the seed SEED or a new one.
fuzz: $(VENV)/.installed
	@seed=$${SEED:-$$($(VENV)/bin/python -c "import secrets; print(secrets.randbelow(2**32))")}; \
	echo "fuzz seed $$seed, repeat with: make fuzz SEED=$$seed"; \
	GERANIUMBEND_FUZZ=$${FACTOR:-20} GERANIUMBEND_FUZZ_SEED=$$seed \
	$(RUN) -m nose2 -s tests -t . $$(grep -rl "tests.fuzzing" tests | grep -v fuzzing.py | sed 's/\.py$$//; s/\//./g')
