"""A randomized soak: real node processes, stand-ins of the platform, and faults.

Run by ``make soak SEED=n MINUTES=m``. Nodes are processes of their own; the platform's
store, workers, policy service and callers live in the soak's process, behind loopback
proxies that delay, reset, cut and silence connections. What callers and workers see is
checked while it runs.
"""
