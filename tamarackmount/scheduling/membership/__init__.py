"""Roles of entry VMs: holder, followers, those that left, evacuations."""
