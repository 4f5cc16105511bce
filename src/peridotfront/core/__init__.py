"""Decision logic of peridotfront, without I/O, clocks or randomness.

Each role is a class with ``handle(event, now_ms)``, a generator of actions. The
programs feed it messages and ticks, and execute the actions that it yields.
"""
