"""The process on an entry VM: its sockets, its view of the store, and scheduling."""
