# Everything runs in a virtual environment that the first target makes.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := hornbeampaddle hornbeampaddle-wire hornbeampaddle-entry hornbeampaddle-cell hornbeampaddle-standins hornbeampaddle-cli
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package))
STAMP := $(VENV)/installed
REPORTS := $(VENV)/reports

.PHONY: demo test lint model bench gaps policy capacity walks soak clean

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt $(EDITABLE)
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/hornbeampaddle demo $(DEMO_ARGS)

test: $(STAMP)
	rm -rf $(REPORTS) && mkdir $(REPORTS)
	PYTHONHASHSEED=0 $(BIN)/behave --format progress --junit --junit-directory $(REPORTS) features; echo $$? > $(REPORTS)/exit
	$(BIN)/python features/known_red.py $(REPORTS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m bench.report --check
	MYPYPATH=platform:platform/standins $(BIN)/mypy packages model bench \
		platform/hornbeampaddle_platform platform/standins/hornbeampaddle_platform_standins

bench: $(STAMP)
	$(BIN)/python -m bench.rest
	$(BIN)/python -m bench.loglines
	$(BIN)/python -m bench.path
	PYTHONPATH=platform $(BIN)/python -m bench.reports
	PYTHONHASHSEED=0 $(BIN)/python -m bench.takeover
	PYTHONHASHSEED=0 $(BIN)/python -m bench.spread

# What each fault costs a cell, in simulated time (about 2 minutes).
gaps: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m bench.cell_gaps

# What callers get by the scheduler's decisions alone (about 30 s); ARGS="--seeds 8
# --load tight --set placing.SIMILARITY_WEIGHT_MILLIS=0" compares a changed threshold.
policy: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m bench.policy $(ARGS)

# Measure all slopes (about 6 minutes), then write the tables and the plot.
capacity: $(STAMP)
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.report

# Check the specifications, print each guard's shortest counterexample.
model: $(STAMP)
	$(BIN)/python -m model.check docs/model-table.md

# Walk through WALKS seeds from WALK_FIRST on, in simulated time.
WALK_FIRST ?= 10000
WALKS ?= 500
walks: $(STAMP)
	PYTHONHASHSEED=0 PYTHONPATH=features $(BIN)/python -m support.soak $(WALK_FIRST) $(WALKS)
	PYTHONHASHSEED=0 PYTHONPATH=features $(BIN)/python -m support.cell_walks $(WALK_FIRST) $(WALKS)
	PYTHONHASHSEED=0 PYTHONPATH=features $(BIN)/python -m support.cell_walks $(WALK_FIRST) $(WALKS) restarting

# Break the real programs from outside: SEEDS runs from SEED on.
SEED ?= 1
SEEDS ?= 5
SECONDS ?= 20
soak: $(STAMP)
	$(BIN)/python platform/soak/soak.py --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

clean:
	rm -rf $(VENV)
