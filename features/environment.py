"""Behave hooks: known failures and the shared settings of hypothesis."""

from pathlib import Path

from hypothesis import HealthCheck, settings

KNOWN_RED_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def known_red_names() -> set[str]:
    """Return the scenario names listed as known failures."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def before_all(context):
    context.known_red = known_red_names()


def before_scenario(context, scenario):
    if scenario.name in context.known_red:
        print(f"KNOWN RED: {scenario.filename}: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")
