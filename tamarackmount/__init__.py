"""A cluster scheduler for services, batch work and gang jobs."""

__version__ = "0.1.0"
