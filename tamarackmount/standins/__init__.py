"""Small processes that take the place of the platform and the upstreams."""
