"""What each workspace is entitled to, and what refused callers were promised."""
