"""Choice of the region and the place that serve a request."""
