"""The ``tamarackmountd`` process: tasks that own sockets and feed the kernel."""
