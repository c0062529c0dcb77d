"""What requests cost the upstreams, learned from their durations."""
