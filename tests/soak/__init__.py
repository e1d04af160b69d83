"""A randomized soak test: node processes against a simulated platform, with faults.

Run it with ``make soak SEED=n MINUTES=m``. Each node is a process of its own. The
platform's store, workers and policy service and the callers run in the soak's process,
with loopback proxies in front of the store and the workers that delay, reset, drop or
silence connections. What callers and workers observe is checked against the system's
invariants during the run.
"""
