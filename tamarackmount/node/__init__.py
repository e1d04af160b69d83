"""The process on an entry VM: tasks that own sockets and feed the decisions."""
