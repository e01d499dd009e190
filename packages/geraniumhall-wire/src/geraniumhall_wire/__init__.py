"""Codecs of geraniumhall: bytes to typed values, and typed values to bytes."""
