"""Evidence that a task crashes its workers, and the isolation of suspects."""
