"""Extra work: retries and hedges."""
