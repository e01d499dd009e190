"""Stand-ins, scenarios, the soak test and benchmarks of geraniumhall."""
