"""What the store holds of jobs and workers, and when orders wait for it."""
