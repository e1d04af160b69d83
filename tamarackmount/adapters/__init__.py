"""Clients of the platform's interfaces and of the upstreams."""
