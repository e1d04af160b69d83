"""Decision logic without I/O: typed messages and the time in, typed effects out."""
