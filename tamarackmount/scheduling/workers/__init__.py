"""The state of workers and pools: capacity, speed and load."""
