"""Which upstream instances are leaving, cold, slow, lost or suspect."""
