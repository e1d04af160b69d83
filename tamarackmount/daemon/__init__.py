"""The ``tamarackmountd`` process.

Its tasks own the sockets, pass inputs to the kernel and carry out its effects.
"""
