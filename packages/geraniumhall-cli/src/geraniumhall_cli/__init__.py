"""The operators' command line of geraniumhall."""
