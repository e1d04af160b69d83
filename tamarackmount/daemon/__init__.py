"""The ``tamarackmountd`` process.

The node (``kernel.node.Node``) makes the decisions and does no I/O. The components of
the daemon own the sockets, pass inputs to the node and carry out the effects that it
returns.
"""
