"""Stand-ins for the platform, workers and clients of the review's cases."""
