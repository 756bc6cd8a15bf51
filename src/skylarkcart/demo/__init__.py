"""A demonstration of a complete deployment in one process."""
