"""The state of jobs, steps and runs, and the order in which they are served."""
