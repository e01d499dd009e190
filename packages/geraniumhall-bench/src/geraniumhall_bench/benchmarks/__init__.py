"""Benchmarks; each is registered under its name and prints its figures."""

from geraniumhall_bench.benchmarks import capacity, control, limits, membership, relay
from geraniumhall_bench.benchmarks.registry import BENCHMARKS

__all__ = ["BENCHMARKS", "capacity", "control", "limits", "membership", "relay"]
