"""Simulated and real trials of the rules on claims."""
