"""The command line for operators of geraniumhall."""
