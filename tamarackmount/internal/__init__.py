"""Details that callers of the library do not need."""
