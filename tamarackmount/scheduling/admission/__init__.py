"""Which submitted jobs are accepted, and when refused callers return."""
