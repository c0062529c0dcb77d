"""Stand-ins of external systems, each a process controlled over HTTP."""
