"""Scheduling of jobs on workers, without I/O.

Callers pass in the inputs and the time, and carry out the effects that come out.

"Load pattern:" in a doc string names the load that the policy described there answers.
"""
