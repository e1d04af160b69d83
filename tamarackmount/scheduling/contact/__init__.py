"""Exchanges with workers and with the store: polls, leases, orders, batches."""
