"""Stand-ins: processes that simulate the platform's services and the upstreams."""
