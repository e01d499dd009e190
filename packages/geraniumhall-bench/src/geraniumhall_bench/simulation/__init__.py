"""Deterministic simulation of several daemons in one process, on a virtual clock."""

from geraniumhall_bench.simulation import performers
from geraniumhall_bench.simulation.cluster import PLATFORM_NAME, SimulatedCluster

__all__ = ["PLATFORM_NAME", "SimulatedCluster", "performers"]
