"""Stand-ins for the cases 6 to 10: minions, the store, clients and node processes."""
