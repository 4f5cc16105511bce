"""Steps for the soak test of the real programs."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 180


@when("the soak test runs seed {seed:d} for {seconds:d} s")
def run_seed(context, seed, seconds):
    command = [sys.executable, "-m", "soak", "--seeds", str(seed)]
    context.soak_result = subprocess.run(
        [*command, "--seconds", str(seconds)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@then("no guarantee was violated")
def no_guarantee_violated(context):
    soak_result = context.soak_result
    assert soak_result.returncode == 0, soak_result.stdout + soak_result.stderr
