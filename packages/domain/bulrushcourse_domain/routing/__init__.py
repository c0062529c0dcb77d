"""Choice of the region that serves a request, and places of callers."""
