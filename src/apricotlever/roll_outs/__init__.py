"""Progressive delivery of new versions of services.

A roll-out moves a service from an old version to a new one, as an order in
the store asks. At first only a few runners of the new version, the canaries,
take calls, and their results are compared with those of the old version. A
finding, which is evidence that the new version is worse, ends the roll-out.
Otherwise the new version takes over: it gets all calls, and the old runners
stop.
"""
