"""Stand-ins for the users' platform, its minions and its clients."""
