"""Stand-ins of the platform's store and upstreams for the edge program."""
