"""HTTP listener for callers and forwarding of their requests."""
