"""Small stand-ins of outside systems, each a process with HTTP control."""
