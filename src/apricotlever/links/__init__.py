"""Network links to callers, peers, upstreams and the platform."""
