"""Stand-ins of the users' platform and upstreams for the edge program."""
