"""peridotfront: a request scheduler for heterogeneous model engines."""
