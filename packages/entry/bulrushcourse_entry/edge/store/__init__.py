"""Tasks that follow and update the platform's store."""
