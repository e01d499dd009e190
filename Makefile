# make run: install and run the demo scenario; make test: install and run all tests.
ROOT := $(patsubst %/,%,$(dir $(abspath $(lastword $(MAKEFILE_LIST)))))
VENV := $(ROOT)/.venv
PYTHON := $(VENV)/bin/python
PROJECTS := $(addprefix packages/geraniumhall-,core wire net) platform \
	$(addprefix packages/geraniumhall-,daemon bench cli)
SOURCES := packages platform tools
STAMP := $(VENV)/.installed

.PHONY: run test lint format proofs bench clean

run: $(STAMP)
	$(VENV)/bin/geraniumhall scenario run demo

test: $(STAMP)
	$(PYTHON) $(ROOT)/tools/run_tests.py

lint: $(STAMP)
	cd $(ROOT) && $(VENV)/bin/ruff format --check $(SOURCES)
	cd $(ROOT) && $(VENV)/bin/ruff check $(SOURCES)
	cd $(ROOT) && $(VENV)/bin/mypy packages/*/src platform/src

format: $(STAMP)
	cd $(ROOT) && $(VENV)/bin/ruff check --fix $(SOURCES)
	cd $(ROOT) && $(VENV)/bin/ruff format $(SOURCES)

proofs: $(STAMP)
	$(PYTHON) $(ROOT)/tools/check_proofs.py

bench: $(STAMP)
	$(VENV)/bin/geraniumhall bench relay
	$(VENV)/bin/geraniumhall bench routes

$(STAMP): $(ROOT)/requirements.txt $(foreach project,$(PROJECTS),$(ROOT)/$(project)/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r $(ROOT)/requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach project,$(PROJECTS),-e $(ROOT)/$(project))
	touch $@

clean:
	rm -rf $(VENV)
