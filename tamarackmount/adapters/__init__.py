"""HTTP clients of the platform's services, the workers and the upstreams."""
