"""The steps of the scenario language; importing this package registers them."""

from geraniumhall_bench.steps import calls, catalogue, processes, stand_ins

__all__ = ["calls", "catalogue", "processes", "stand_ins"]
