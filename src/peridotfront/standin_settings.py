"""Settings of the stand-in program, read from an INI file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

from pydantic import Field

from .exceptions import SettingsInvalid
from .ini import Fault, Ini, Section

STANDIN_SECTIONS = {"standin", "engine", "service"}


class StandinSection(Section):
    """Settings of every stand-in.

    :param kind: kind of upstream that it simulates.
    :param listen: listening IP address and port; the kernel chooses for port 0.
    :param run_file: file that gets a line for each run; empty disables it.
    :param leave_ms: time for which it reports that it is leaving before it exits.
    """

    kind: Literal["engine", "service"]
    listen: str = Field(default="127.0.0.1:0", pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
    run_file: str = ""
    leave_ms: int = Field(default=1000, ge=0, le=600_000)


class EngineSection(Section):
    """Rates, sizes and lags of a stand-in engine.

    :param models: model names, separated by commas; empty serves any model.
    :param prefill_tokens_per_s: prefill rate of prompt tokens that are not cached.
    :param decode_tokens_per_s: decode rate of a single stream.
    :param kv_capacity_tokens: KV memory for running requests and cached prefixes.
    :param batch_slowdown: fraction by which each further stream lengthens a step.
    :param load_lag_ms: age of the load that a report shows.
    :param event_lag_ms: age at which a cache event is published.
    :param event_gap_every: drop every n-th cache event; 0 drops none.
    :param order_ms: duration of an order.
    :param honours_fencing: whether it refuses orders with an old fencing token.
    :param retention_ms: time for which a finished answer can still be resumed.
    """

    models: str = ""
    prefill_tokens_per_s: int = Field(default=4000, ge=1, le=10_000_000)
    decode_tokens_per_s: int = Field(default=40, ge=1, le=100_000)
    kv_capacity_tokens: int = Field(default=60_000, ge=16, le=100_000_000)
    batch_slowdown: float = Field(default=0.01, ge=0, le=10)
    load_lag_ms: int = Field(default=500, ge=0, le=600_000)
    event_lag_ms: int = Field(default=500, ge=0, le=600_000)
    event_gap_every: int = Field(default=0, ge=0)
    retention_ms: int = Field(default=60_000, ge=0, le=86_400_000)
    order_ms: int = Field(default=50, ge=0, le=600_000)
    honours_fencing: bool = True


class ServiceSection(Section):
    """Settings of a stand-in service.

    :param call_ms: duration of a call.
    """

    call_ms: int = Field(default=20, ge=0, le=600_000)


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Settings of the stand-in program."""

    standin: StandinSection
    engine: EngineSection = field(default_factory=EngineSection)
    service: ServiceSection = field(default_factory=ServiceSection)


def load_standin(text: str, source: str = "settings") -> StandinSettings:
    """Parse and validate the settings of a stand-in.

    :param text: content of the INI file.
    :param source: name of the file for error messages.
    :raises SettingsInvalid: with all faults.
    """
    ini = Ini.parse(text, source)
    faults = list(ini.unknown_sections(STANDIN_SECTIONS))
    settings = StandinSettings(
        standin=ini.read(StandinSection, "standin", faults),
        engine=ini.read(EngineSection, "engine", faults),
        service=ini.read(ServiceSection, "service", faults),
    )
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    return settings


def load_settings(path: str) -> StandinSettings:
    """Read and validate a settings file.

    :param path: path of the INI file.
    :return: the validated settings.
    :rtype: StandinSettings
    :raises SettingsInvalid: with all faults.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault("", "", "", str(error))
        raise SettingsInvalid(path, (fault,)) from error
    return load_standin(text, path)
