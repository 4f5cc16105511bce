"""peridotfront: a request scheduler for unlike model engines."""
