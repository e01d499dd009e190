"""Benchmarks, each registered under its name; a benchmark prints its results."""

from geraniumhall_bench.benchmarks import relay, routes
from geraniumhall_bench.benchmarks.registry import BENCHMARKS

__all__ = ["BENCHMARKS", "relay", "routes"]
