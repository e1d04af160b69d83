"""Development harness: starts every process on loopback and drives load."""
