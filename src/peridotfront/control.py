"""Start of the program ``peridotfront-control``."""

from .signals import hold_signals


def main() -> None:
    """Hold signals, load the modules of the program and run it."""
    hold_signals()
    from .control_program import run_program

    run_program()


if __name__ == "__main__":
    main()
