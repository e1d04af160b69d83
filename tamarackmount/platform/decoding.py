"""What decoding a document of another program may raise."""

DECODING_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors of documents with missing fields, or values of other types, sizes or depths.

Lists nested nearly as deep as the JSON parser allows exceed Python's recursion limit
where they are turned into text.
"""
