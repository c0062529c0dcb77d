"""Selection of upstreams for requests, and admission control."""
