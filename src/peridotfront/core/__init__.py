"""The decisions of peridotfront, free of input, output, clocks and randomness.

Each role is a class with ``handle(event, now_ms)``, a generator of actions. The
programs feed it messages and ticks, and carry out the actions that it yields.
"""
