"""Links to callers, peers, upstreams and the platform."""
