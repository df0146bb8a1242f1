# Every goal sets up its own virtual environment from a bare Python 3.11 with pip.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core platform node cli
READY := $(VENV)/.ready
SOURCES := packages platform testing examples benchmarks

.PHONY: demo test lint format fuzz soak evacuation-times two-builds wakeups bench slopes docs-check plots clean

$(READY): constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt \
		setuptools pytest pytest-timeout pytest-xdist hypothesis ruff mypy pillow hdrhistogram \
		msgspec xxhash pynng cheroot urllib3 aioprometheus python-json-logger click httptools
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach p,$(PACKAGES),-e packages/paddleshunt-$(p))
	touch $@

demo: $(READY)
	$(BIN)/paddleshuntd demo --out demo-out

# Which tests run beside which: testing/sidebyside.py.
WORKERS ?= 3
test: $(READY)
	$(BIN)/python -m pytest testing -n $(WORKERS)

lint: $(READY)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

clean:
	rm -rf $(VENV) demo-out

bench: $(READY)
	$(BIN)/python benchmarks/bench.py $(ARGS)

slopes: $(READY)
	$(BIN)/python benchmarks/slopes.py $(ARGS)

# Longer runs with new seeds; FUZZ is the number of runs.
FUZZ ?= 400
fuzz: $(READY)
	PADDLESHUNT_FUZZ=$(FUZZ) $(BIN)/python -m pytest testing/test_fuzz.py testing/core/leased/test_idle_sessions.py -s --timeout=3600

# The pictures of docs/measurements, from the tables beside them.
plots: $(READY)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt matplotlib
	$(BIN)/python benchmarks/rounds.py docs/measurements/deciding-well.csv docs/measurements/deciding-well.svg

docs-check: $(READY)
	$(BIN)/python testing/docs_check.py

# The real programs as processes under faults from outside; SEEDS is FIRST:END, SECONDS a seed's length.
SEEDS ?= 0:50
SECONDS ?= 15
AT_ONCE ?= 2
soak: $(READY)
	PYTHONPATH=testing:testing/council:testing/soak:platform $(BIN)/python testing/soak/soak.py \
		--seeds $(SEEDS) --seconds $(SECONDS) --at-once $(AT_ONCE) $(ARGS)

# Processes of this checkout beside those of another, OLD: what one writes, the other must read.
two-builds: $(READY)
	PYTHONPATH=testing:testing/council:testing/soak:platform $(BIN)/python testing/soak/twobuilds.py $(OLD)

# How often the programs wake up without work.
wakeups: $(READY)
	PYTHONPATH=testing:testing/council:testing/soak:platform $(BIN)/python testing/soak/wakeups.py

# How long the last start in an evacuated hall comes after the operator's word.
evacuation-times: $(READY)
	PYTHONPATH=testing:testing/council:testing/soak:platform $(BIN)/python testing/soak/evacuationtimes.py
