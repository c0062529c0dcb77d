"""What attempts of a request at upstreams prove."""
