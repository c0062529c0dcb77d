"""Which entries are live, leaving or gone."""
