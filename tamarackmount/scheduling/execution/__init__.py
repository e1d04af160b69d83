"""The start and end of runs, and their comparison with reports."""
