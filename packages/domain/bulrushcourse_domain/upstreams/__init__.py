"""State of the upstreams: rows, load, failures and warm-up."""
