"""Settings of the stand-in program, read from an INI file."""

import configparser
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .exceptions import SettingsInvalid


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class StandinSection(_Section):
    """What every stand-in needs.

    :param listen: IP number and port; port 0 lets the kernel choose.
    :param run_file: file that gets a line for each run; empty writes none.
    :param leave_ms: how long it reports that it is leaving before it exits.
    """

    kind: Literal["engine", "service"]
    listen: str = Field(default="127.0.0.1:0", pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
    run_file: str = ""
    leave_ms: int = Field(default=1000, ge=0, le=600_000)


class EngineSection(_Section):
    """What a stand-in engine can do.

    :param models: names, separated by commas; empty serves any model.
    :param retention_ms: how long a finished answer can still be resumed.
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


class ServiceSection(_Section):
    """What a stand-in service does.

    :param call_ms: how long one call takes.
    """

    call_ms: int = Field(default=20, ge=0, le=600_000)


class StandinSettings(_Section):
    """All settings of the stand-in program."""

    standin: StandinSection
    engine: EngineSection = EngineSection()
    service: ServiceSection = ServiceSection()


def load_settings(path: str) -> StandinSettings:
    """Read and check a settings file.

    :param path: an INI file.
    :return: the settings.
    :rtype: StandinSettings
    :raises SettingsInvalid: with every fault at once.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsInvalid([f"{path}: {error}"]) from error
    content = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return StandinSettings.model_validate(content)
    except ValidationError as error:
        raise SettingsInvalid([_describe(fault) for fault in error.errors()]) from error


def _describe(fault) -> str:
    section, *keys = (str(part) for part in fault["loc"])
    key = ".".join(keys) or "-"
    value = fault["input"] if isinstance(fault["input"], str) else "-"
    return f"section {section}, key {key}, value {value}: {fault['msg']}"
