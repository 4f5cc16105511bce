"""Records what a build sends and stores, or reads what another one has recorded.

The source folder in PYTHONPATH tells the build.

Usage::

    PYTHONPATH=SOURCE python tools/record_build.py FOLDER         # record it
    PYTHONPATH=SOURCE python tools/record_build.py --read FOLDER  # read a recording
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "features"))


def read(folder: str) -> None:
    """Print what the build at hand misreads, and exit with 1 if there is anything."""
    from support import recordings

    recorded = list(recordings.recorded_messages(folder))
    faults = [fault for m in recorded for fault in recordings.misread_values(m)]
    faults += recordings.misread_content(folder)
    print(*faults, sep="\n")
    print(f"{len(recorded)} messages and a data folder: {len(faults)} faults")
    if faults:
        raise SystemExit(1)


def main() -> None:
    """Record the build at hand, or with ``--read`` read a recording."""
    from support import recordings

    *options, folder = sys.argv[1:]
    if options == ["--read"]:
        read(folder)
    else:
        recordings.write(folder)


if __name__ == "__main__":
    main()
