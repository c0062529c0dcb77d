"""Test clusters, stand-ins, load generation and measurements.

Production code does not import this package.
"""
