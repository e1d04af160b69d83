"""The process on an entry VM.

Its tasks own the sockets, follow the store, and feed the decisions of ``scheduling``.
"""
