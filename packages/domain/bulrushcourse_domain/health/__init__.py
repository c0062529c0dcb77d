"""Which upstream instances are leaving, cold, slow, ejected or suspect."""
