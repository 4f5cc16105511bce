"""Steps on the soak of the real programs."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 180


@when("the soak plays seed {seed:d} for {seconds:d} s")
def play_seed(context, seed, seconds):
    command = [sys.executable, "-m", "soak", "--seeds", str(seed)]
    context.played = subprocess.run(
        [*command, "--seconds", str(seconds)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@then("no promise was broken")
def none_broken(context):
    played = context.played
    assert played.returncode == 0, played.stdout + played.stderr
