"""Stand-ins, scenarios and the load and experiment tool of geraniumhall."""
