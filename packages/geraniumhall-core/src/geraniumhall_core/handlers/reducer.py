"""The daemon's reducer, with which the package's modules register handlers."""

from geraniumhall_core.reducer import Reducer
from geraniumhall_core.state import DaemonState

REDUCER: Reducer[DaemonState] = Reducer("daemon")
