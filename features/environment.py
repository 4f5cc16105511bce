"""Behave hooks: known failures, fixtures and the settings of hypothesis."""

import sys
import tempfile
from pathlib import Path

from behave import fixture, use_fixture
from behave.model_type import Status
from hypothesis import HealthCheck, settings

FEATURES = Path(__file__).resolve().parent
KNOWN_RED_FILE = FEATURES.parent / "KNOWN-RED.txt"
sys.path[:0] = [str(FEATURES), str(FEATURES.parent)]
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


@fixture
def small_deployment(context):
    """Run three control hosts, two entry hosts, two engines and a service."""
    from support.deployment import Deployment

    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, control_hosts=3, entry_hosts=2)
        deployment.add_engine(
            "engine-1", "dc1", prefill_tokens_per_s=20000, decode_tokens_per_s=400
        )
        deployment.add_engine(
            "engine-2", "dc2", prefill_tokens_per_s=8000, decode_tokens_per_s=200
        )
        deployment.add_service("payout-1", "dc1", "payout")
        with deployment:
            context.deployment = deployment
            yield deployment


@fixture
def large_deployment(context):
    """Run hosts in four data centres behind relays, three engines, two services."""
    from support.deployment import Deployment

    data_centres = ("dc1", "dc2", "dc3", "dc4")
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, 3, 4, data_centres=data_centres)
        for number, (data_centre, prefill, decode) in enumerate(
            (("dc1", 20000, 400), ("dc2", 8000, 200), ("dc4", 4000, 200)), start=1
        ):
            deployment.add_engine(
                f"engine-{number}",
                data_centre,
                prefill_tokens_per_s=prefill,
                decode_tokens_per_s=decode,
            )
        deployment.add_service("payout-1", "dc1", "payout")
        deployment.add_service("payout-2", "dc3", "payout")
        deployment.add_relays()
        with deployment:
            context.deployment = deployment
            yield deployment


FIXTURES = {
    "fixture.large_deployment": large_deployment,
    "fixture.small_deployment": small_deployment,
}


def check_sentences(feature, steps_by_type):
    """Check that no sentence matches two step functions."""
    for scenario in feature.walk_scenarios():
        for step in scenario.all_steps:
            candidates = steps_by_type[step.step_type] + steps_by_type["step"]
            matches = [matcher for matcher in candidates if matcher.match(step.name)]
            assert len(matches) < 2, f"{step.name}: {[m.location for m in matches]}"


def before_all(context):
    context.known_red = known_red_names()


def before_feature(context, feature):
    check_sentences(feature, context._runner.step_registry.steps)


def before_tag(context, tag):
    if tag in FIXTURES:
        use_fixture(FIXTURES[tag], context)


def before_scenario(context, scenario):
    # Names of examples without a title end in a space.
    if scenario.name.strip() in context.known_red:
        print(f"KNOWN RED: {scenario.filename}: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")


def after_step(context, step):
    """Print what failed, which the progress format leaves out."""
    if step.status in (Status.failed, Status.error):
        print(f"\nFAILED: {step.location}: {step.name}\n{step.error_message}")
