"""The geraniumhall daemon: performers, listeners and timers on trio."""
