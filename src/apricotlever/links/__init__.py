"""Network links to callers, peers, upstreams and the platform.

Peers are the other entry VMs of the fleet. An upstream is what runs a call: a
runner or another service. The platform provides the object API, the cloud API
and the weight store.
"""
