"""Distribution, publication and storage of the configuration."""
