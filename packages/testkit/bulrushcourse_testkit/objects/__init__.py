"""Model of routes with affinity objects over regions of unequal size."""
