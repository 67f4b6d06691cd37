"""The gateway: a load balancer that talks to upstreams directly."""
