"""Membership: which entries are live, leaving, suspected or gone."""
