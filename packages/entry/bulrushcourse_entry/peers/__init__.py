"""Authenticated streams between entries."""
