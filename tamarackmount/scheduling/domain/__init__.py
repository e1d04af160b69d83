"""Types of jobs, workers and configuration, and the messages about them."""
