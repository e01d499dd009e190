"""The registry of benchmarks."""

from collections.abc import Callable

from geraniumhall_core.registry import Registry

BENCHMARKS: Registry[str, Callable[[], None]] = Registry("benchmark")
