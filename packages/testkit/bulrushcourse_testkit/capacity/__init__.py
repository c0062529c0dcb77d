"""Measurements behind ``docs/CAPACITY.md``: how costs grow with sizes."""
