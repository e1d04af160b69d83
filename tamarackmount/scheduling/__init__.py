"""Decisions about jobs on workers, without I/O: inputs and the time in, effects out."""
