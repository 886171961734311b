"""Stand-ins: servers that replace the systems around the product in tests.

They stand in for the platform, the engines and the plain services.
"""
