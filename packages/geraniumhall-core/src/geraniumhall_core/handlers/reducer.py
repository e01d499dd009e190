"""The daemon's one reducer; other modules of the package fill it."""

from geraniumhall_core.reducer import Reducer
from geraniumhall_core.state import DaemonState

REDUCER: Reducer[DaemonState] = Reducer("daemon")
