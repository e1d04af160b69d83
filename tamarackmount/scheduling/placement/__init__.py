"""Where tasks start, and which runs make way for them."""
