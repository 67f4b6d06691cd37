"""Gateway: a load balancer that forwards requests directly to upstreams."""
